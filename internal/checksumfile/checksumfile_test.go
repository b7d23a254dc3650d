package checksumfile

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

// TestCutAnywhere: a file that is cut or changed anywhere is told as damaged, one that is too long is not
// read.
func TestCutAnywhere(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	if _, err := Read(path, 1); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
	if err := Write(path, []byte("something to keep")); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if raw, err := Read(path, 1000); err != nil || string(raw) != "something to keep" {
		t.Errorf("%q, %v", raw, err)
	}
	if _, err := Read(path, 10); err == nil {
		t.Error("a file of any length is read")
	}
	for n := range whole {
		other := bytes.Clone(whole)
		other[n] ^= 1
		for _, text := range [][]byte{whole[:n], other} {
			if raw, err := Decode(text); err == nil && !bytes.Equal(raw, []byte("something to keep")) {
				t.Errorf("damaged at %d it reads %q", n, raw)
			}
		}
	}
}

func FuzzOpen(f *testing.F) {
	f.Add(Encode([]byte("x")))
	f.Fuzz(func(t *testing.T, text []byte) {
		if raw, err := Decode(text); err == nil {
			if again, err := Decode(Encode(raw)); err != nil || !bytes.Equal(again, raw) {
				t.Fatalf("%q: %v", raw, err)
			}
		}
	})
}
