package tenant

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// rawFields are the fields of a document that this version of the program does not know. They are written
// back as they were read, so that an older controller drops nothing from a newer operator's spec.
type rawFields map[string]json.RawMessage

// decodeDocument decodes a document into plain, and returns the fields that plain lacks.
func decodeDocument(raw []byte, plain any) (rawFields, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if decoder.DisallowUnknownFields(); decoder.Decode(plain) == nil { // nearly always: no unknown field
		return nil, nil
	}
	if err := json.Unmarshal(raw, plain); err != nil {
		return nil, err
	}
	var unknown rawFields
	if err := json.Unmarshal(raw, &unknown); err != nil {
		return nil, err
	}
	plainType := reflect.TypeOf(plain).Elem()
	for i := range plainType.NumField() {
		key, _, _ := strings.Cut(plainType.Field(i).Tag.Get("json"), ",")
		delete(unknown, key)
	}
	if len(unknown) == 0 {
		return nil, nil
	}
	return unknown, nil
}

// encodeDocument encodes plain, followed by the unknown fields in the order of their names.
func encodeDocument(plain any, unknown rawFields) ([]byte, error) {
	raw, err := json.Marshal(plain)
	if err != nil || len(unknown) == 0 {
		return raw, err
	}
	raw = raw[:len(raw)-1]
	for _, key := range slices.Sorted(maps.Keys(unknown)) {
		name, err := json.Marshal(key)
		if err != nil {
			return nil, err
		}
		if len(raw) > 1 {
			raw = append(raw, ',')
		}
		raw = append(append(append(raw, name...), ':'), unknown[key]...)
	}
	return append(raw, '}'), nil
}

// The documents without their methods, so that encoding and decoding them does not call MarshalJSON and
// UnmarshalJSON again.
type (
	plainSpec   Spec
	plainTenant Tenant
	plainEntry  Entry
)

// UnmarshalJSON decodes a spec, including fields that a newer version of the program wrote.
func (s *Spec) UnmarshalJSON(raw []byte) (err error) {
	s.unknownFields, err = decodeDocument(raw, (*plainSpec)(s))
	return err
}

// MarshalJSON encodes a spec with all fields that were decoded.
func (s *Spec) MarshalJSON() ([]byte, error) { return encodeDocument((*plainSpec)(s), s.unknownFields) }

// UnmarshalJSON decodes a tenant, including fields that a newer version of the program wrote.
func (t *Tenant) UnmarshalJSON(raw []byte) (err error) {
	t.unknownFields, err = decodeDocument(raw, (*plainTenant)(t))
	return err
}

// MarshalJSON encodes a tenant with all fields that were decoded.
func (t *Tenant) MarshalJSON() ([]byte, error) {
	return encodeDocument((*plainTenant)(t), t.unknownFields)
}

// UnmarshalJSON decodes an entry, including fields that a newer version of the program wrote.
func (e *Entry) UnmarshalJSON(raw []byte) (err error) {
	e.unknownFields, err = decodeDocument(raw, (*plainEntry)(e))
	return err
}

// MarshalJSON encodes an entry with all fields that were decoded.
func (e *Entry) MarshalJSON() ([]byte, error) {
	return encodeDocument((*plainEntry)(e), e.unknownFields)
}
