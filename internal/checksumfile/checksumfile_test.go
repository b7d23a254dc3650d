package checksumfile

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

// TestDamageIsDetected: a file that is cut or changed at any byte is not read as different content, and a
// file above the size limit is not read.
func TestDamageIsDetected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	if _, err := Read(path, 1); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("read without a file: %v, want fs.ErrNotExist", err)
	}
	if err := Write(path, []byte("something to keep")); err != nil {
		t.Fatal(err)
	}
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if raw, err := Read(path, 1000); err != nil || string(raw) != "something to keep" {
		t.Errorf("read %q, %v, want the written content", raw, err)
	}
	if _, err := Read(path, 10); err == nil {
		t.Error("a file above the size limit is read")
	}
	for n := range complete {
		changed := bytes.Clone(complete)
		changed[n] ^= 1
		for _, text := range [][]byte{complete[:n], changed} {
			if raw, err := Decode(text); err == nil && !bytes.Equal(raw, []byte("something to keep")) {
				t.Errorf("the file damaged at byte %d is decoded as %q", n, raw)
			}
		}
	}
}

// FuzzDecode: content that is decoded from any text is the same after it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(Encode([]byte("x")))
	f.Fuzz(func(t *testing.T, text []byte) {
		if raw, err := Decode(text); err == nil {
			if again, err := Decode(Encode(raw)); err != nil || !bytes.Equal(again, raw) {
				t.Fatalf("%q: %v", raw, err)
			}
		}
	})
}
