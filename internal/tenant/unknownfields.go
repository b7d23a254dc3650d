package tenant

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// rawFields are those of a document that this version of the program does not know. They are written again as
// they were read, so that an older controller takes nothing from a newer operator's spec.
type rawFields map[string]json.RawMessage

// decodeKeeping reads a document into plain, and gives the fields that plain has not.
func decodeKeeping(raw []byte, plain any) (rawFields, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	if d.DisallowUnknownFields(); d.Decode(plain) == nil { // nearly always: it costs one pass
		return nil, nil
	}
	if err := json.Unmarshal(raw, plain); err != nil {
		return nil, err
	}
	var all rawFields
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, err
	}
	t := reflect.TypeOf(plain).Elem()
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		delete(all, key)
	}
	if len(all) == 0 {
		return nil, nil
	}
	return all, nil
}

// encodeKeeping returns the document of plain with the fields beside it, by name.
func encodeKeeping(plain any, more rawFields) ([]byte, error) {
	raw, err := json.Marshal(plain)
	if err != nil || len(more) == 0 {
		return raw, err
	}
	raw = raw[:len(raw)-1]
	for _, key := range slices.Sorted(maps.Keys(more)) {
		name, err := json.Marshal(key)
		if err != nil {
			return nil, err
		}
		if len(raw) > 1 {
			raw = append(raw, ',')
		}
		raw = append(append(append(raw, name...), ':'), more[key]...)
	}
	return append(raw, '}'), nil
}

// The documents without their methods.
type (
	plainSpec   Spec
	plainTenant Tenant
	plainEntry  Entry
)

// UnmarshalJSON reads a spec, with the fields that a newer version wrote.
func (f *Spec) UnmarshalJSON(raw []byte) (err error) {
	f.unknownFields, err = decodeKeeping(raw, (*plainSpec)(f))
	return err
}

// MarshalJSON writes a spec with all fields that were read.
func (f *Spec) MarshalJSON() ([]byte, error) { return encodeKeeping((*plainSpec)(f), f.unknownFields) }

// UnmarshalJSON reads a tenant, with the fields that a newer version wrote.
func (t *Tenant) UnmarshalJSON(raw []byte) (err error) {
	t.unknownFields, err = decodeKeeping(raw, (*plainTenant)(t))
	return err
}

// MarshalJSON writes a tenant with all fields that were read.
func (t *Tenant) MarshalJSON() ([]byte, error) {
	return encodeKeeping((*plainTenant)(t), t.unknownFields)
}

// UnmarshalJSON reads an entry, with the fields that a newer version wrote.
func (e *Entry) UnmarshalJSON(raw []byte) (err error) {
	e.unknownFields, err = decodeKeeping(raw, (*plainEntry)(e))
	return err
}

// MarshalJSON writes an entry with all fields that were read.
func (e *Entry) MarshalJSON() ([]byte, error) {
	return encodeKeeping((*plainEntry)(e), e.unknownFields)
}
