package config

import (
	"errors"
	"fmt"
	"net"
)

// Faults collects what is wrong with a configuration, by its keys.
type Faults struct{ all []error }

// Want notes what the text says unless ok.
func (f *Faults) Want(ok bool, format string, args ...any) {
	if !ok {
		f.all = append(f.all, fmt.Errorf(format, args...))
	}
}

// Address wants a value to be host:port.
func (f *Faults) Address(key, value string) {
	_, _, err := net.SplitHostPort(value)
	f.Want(err == nil, "%s: %q is not host:port", key, value)
}

// Err is all of it, or nil.
func (f *Faults) Err() error { return errors.Join(f.all...) }
