package ratelimit

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// maxTableBytes bounds the JSON encoding of a table; 10,000 limits take about 4 MB.
	maxTableBytes = 16 << 20
	// maxAmount bounds each rate, burst, floor and weight.
	maxAmount     = 1e12
	maxRetryAfter = time.Hour
)

// scopeKey identifies a scope among the children of its parent.
type scopeKey struct {
	parent    int32
	attribute Attribute
	value     string
}

// Errors that Read and Finalize wrap; the wrapping error names the invalid value.
var (
	ErrFormat  = errors.New("unknown table format")
	ErrDigest  = errors.New("table digest does not match its bytes")
	ErrInvalid = errors.New("invalid table")
)

// Read decodes a table from its canonical JSON, checks it and makes it ready for use. It ignores unknown
// fields, but the digest covers them, as it is computed from the bytes.
func Read(data []byte) (*Table, error) {
	if len(data) > maxTableBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrInvalid, len(data), maxTableBytes)
	}
	t := &Table{}
	if err := json.Unmarshal(data, t); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if t.Format != Format {
		return nil, fmt.Errorf("%w: %d, want %d", ErrFormat, t.Format, Format)
	}
	header := fmt.Appendf(nil, `{"format":%d,"version":%d,"digest":%q,`, t.Format, t.Version, t.Digest)
	afterDigest, canonical := bytes.CutPrefix(data, header)
	if !canonical || t.Digest != digest(t.Format, afterDigest) {
		return nil, fmt.Errorf("%w: %.16q", ErrDigest, t.Digest)
	}
	return t, t.prepare()
}

// digest is the SHA-256, in hex, of a table's JSON with version 0 and an empty digest. afterDigest is the
// part of the JSON that follows the digest field.
func digest(format int, afterDigest []byte) string {
	sum := sha256.New()
	sum.Write(fmt.Appendf(nil, `{"format":%d,"version":0,"digest":"",`, format)) // a hash never returns an error
	sum.Write(afterDigest)
	return hex.EncodeToString(sum.Sum(nil))
}

// JSON returns the canonical encoding of the table, which must be ready for use.
func (t *Table) JSON() []byte {
	data, _ := json.Marshal(t) // can't fail, as a table contains only strings and finite numbers
	return data
}

// Finalize checks a newly built table, sets its digest and makes it ready for use.
func (t *Table) Finalize() error {
	if err := t.prepare(); err != nil {
		return err
	}
	t.Version = 0
	t.Digest = ""
	afterDigest := bytes.TrimPrefix(t.JSON(),
		fmt.Appendf(nil, `{"format":%d,"version":0,"digest":"",`, t.Format))
	t.Digest = digest(t.Format, afterDigest)
	return nil
}

// prepare checks a table and builds the indexes that Admit uses.
func (t *Table) prepare() error {
	if err := t.check(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := t.indexScopes(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if limits, scopes := t.MaxMatched(); limits > MaxMatchedLimits || scopes > MaxMatchedScopes {
		return fmt.Errorf("%w: one request can match %d limits and %d parts, at most %d and %d", ErrInvalid,
			limits, scopes, MaxMatchedLimits, MaxMatchedScopes)
	}
	t.layOutTokenSlots()
	if keySlots := t.tokenSlots - len(t.Limits); keySlots > MaxKeySlots {
		return fmt.Errorf("%w: %d key slots, at most %d", ErrInvalid, keySlots, MaxKeySlots)
	}
	return nil
}

// indexScopes fills t.children and t.childAttributes, by which Admit finds the child of a scope that has a
// given attribute and value. Two children of a scope with equal attribute and value are an error.
func (t *Table) indexScopes() error {
	t.children = make(map[scopeKey]int32, len(t.Scopes))
	t.childAttributes = make([]uint8, len(t.Scopes))
	for i, scope := range t.Scopes[1:] {
		t.childAttributes[scope.Parent] |= 1 << scope.Attribute
		key := scopeKey{int32(scope.Parent), scope.Attribute, scope.Value}
		if _, duplicate := t.children[key]; duplicate {
			return fmt.Errorf("part %d is a duplicate", i+1)
		}
		t.children[key] = int32(i + 1)
	}
	return nil
}

// layOutTokenSlots assigns the token slots: one to each limit, and then those of the limits per key.
func (t *Table) layOutTokenSlots() {
	t.firstKeySlot = make([]int32, len(t.Limits))
	t.tokenSlots = len(t.Limits)
	for i, limit := range t.Limits {
		if limit.KeySlots > 0 {
			t.firstKeySlot[i] = int32(t.tokenSlots)
			t.tokenSlots += limit.KeySlots
		}
	}
}

// TokenSlots returns the number of slots that an implementation of Tokens holds: one for each limit, then the
// key slots of the limits per key, in the order of the limits. A key slot has the rate and burst of its
// limit.
func (t *Table) TokenSlots() int { return t.tokenSlots }

// LimitOfSlot returns the index of the limit that a token slot belongs to, or -1 if there is no such slot.
func (t *Table) LimitOfSlot(slot int) int {
	if slot < len(t.Limits) {
		return slot
	}
	for i, first := range t.firstKeySlot {
		if first > 0 && slot >= int(first) && slot < int(first)+t.Limits[i].KeySlots {
			return i
		}
	}
	return -1
}

// validRejection reports whether a rejection may have an HTTP status and a Retry-After.
func validRejection(status int, retryAfter time.Duration) bool {
	allowed := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	return allowed && retryAfter >= 0 && retryAfter <= maxRetryAfter
}
