package config

import (
	"errors"
	"fmt"
	"net"
)

// Problems collects what is wrong with a configuration, by its keys.
type Problems struct{ errs []error }

// Require notes what the text says unless ok.
func (f *Problems) Require(ok bool, format string, args ...any) {
	if !ok {
		f.errs = append(f.errs, fmt.Errorf(format, args...))
	}
}

// RequireAddress wants a value to be host:port.
func (f *Problems) RequireAddress(key, value string) {
	_, _, err := net.SplitHostPort(value)
	f.Require(err == nil, "%s: %q is not host:port", key, value)
}

// Err is all of it, or nil.
func (f *Problems) Err() error { return errors.Join(f.errs...) }
