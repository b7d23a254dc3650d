package config

import (
	"errors"
	"fmt"
	"net"
)

// Problems collects the problems of a configuration.
type Problems struct{ errs []error }

// Require adds a problem with the formatted text unless ok is true.
func (p *Problems) Require(ok bool, format string, args ...any) {
	if !ok {
		p.errs = append(p.errs, fmt.Errorf(format, args...))
	}
}

// RequireAddress adds a problem unless value, which is the value of key, has the form host:port.
func (p *Problems) RequireAddress(key, value string) {
	_, _, err := net.SplitHostPort(value)
	p.Require(err == nil, "%s: %q is not host:port", key, value)
}

// Err returns the problems joined, nil if there are none.
func (p *Problems) Err() error { return errors.Join(p.errs...) }
