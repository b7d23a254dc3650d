package proxy

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// requestOutcome is how a request ended, as operators count it.
type requestOutcome int

const (
	outcomeSucceeded requestOutcome = iota
	outcomeDeclined
	outcomeAborted
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"succeeded", "declined", "aborted"}

// stats holds the figures for operators. They are kept where things happen, so
// that whoever reads them waits for nobody.
type stats struct {
	forwards, outstanding, discovered, ejected atomic.Int64
	sighupApplied, sighupRejected              atomic.Int64

	mu        sync.RWMutex
	results   map[string]*[outcomeCount]atomic.Int64 // by class; one that was dropped keeps its count
	endpoints map[string]*endpointCounts             // nil: they are not distinguished
}

// endpointCounts are those of one server that ended and say something of it.
type endpointCounts struct{ succeeded, failed, late int64 } // late ones have succeeded

func newStats(classes []balancer.Class, servers bool) *stats {
	s := &stats{results: map[string]*[outcomeCount]atomic.Int64{}}
	if servers {
		s.endpoints = map[string]*endpointCounts{}
	}
	s.add(classes)
	return s
}

// add has the figures of further classes begin at zero.
func (s *stats) add(classes []balancer.Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range classes {
		if s.results[c.Name] == nil {
			s.results[c.Name] = new([outcomeCount]atomic.Int64)
		}
	}
}

// count takes the end of a request.
func (s *stats) count(class string, o requestOutcome) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if r := s.results[class]; r != nil {
		r[o].Add(1)
	}
}

// attempt takes the end of an attempt at a server. One that the proxy called off, or
// never sent, says nothing of it.
func (s *stats) attempt(server string, code balancer.Outcome, late bool) {
	if server == "" || code == balancer.NotSent || code == balancer.Cancelled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.endpoints[server]
	if a == nil {
		a = &endpointCounts{}
		s.endpoints[server] = a
	}
	switch {
	case code != balancer.OK:
		a.failed++
	case late:
		a.late++
		a.succeeded++
	default:
		a.succeeded++
	}
}

// forget drops the figures of a server that has left the list.
func (s *stats) forget(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.endpoints, server)
}

// write gives the figures as lines of text, classes in the order of their names.
func (s *stats) write(w io.Writer) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var names []string
	for name := range s.results {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for o, r := range outcomeNames {
			besteffort.Output(fmt.Fprintf(w, "app.results.%s.%s:%d|c\n", label(name), r, s.results[name][o].Load()))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.endpoints)) {
		a := s.endpoints[name]
		besteffort.Output(
			fmt.Fprintf(
				w,
				"app.backends.%s.succeeded:%d|c\napp.backends.%s.failed:%d|c\napp.backends.%s.late:%d|c\n",
				label(name),
				a.succeeded,
				label(name),
				a.failed,
				label(name),
				a.late,
			),
		)
	}
	writeStats(w, []stat{
		counter("app.forwards", s.forwards.Load()),
		gauge("app.outstanding", s.outstanding.Load()),
		gauge("app.discovered", s.discovered.Load()),
		gauge("app.ejected", s.ejected.Load()),
		counter("app.sighup_applied", s.sighupApplied.Load()),
		counter("app.sighup_rejected", s.sighupRejected.Load()),
	})
}

// stat is a figure for operators, in the line format of statsd.
type stat struct {
	name  string
	value int64
	kind  string
}

// counter is a figure that counts from the start of the process.
func counter(name string, value int64) stat { return stat{name, value, "c"} }

// gauge is a figure of this moment.
func gauge(name string, value int64) stat { return stat{name, value, "g"} }

// flag is a gauge that is 1 or 0.
func flag(name string, on bool) stat {
	if on {
		return gauge(name, 1)
	}
	return gauge(name, 0)
}

func writeStats(w io.Writer, stats []stat) {
	for _, s := range stats {
		besteffort.Output(fmt.Fprintf(w, "%s:%d|%s\n", s.name, s.value, s.kind))
	}
}

// label keeps a class's name from ending its line or its part of it.
func label(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == 0x7f || strings.ContainsRune(".:|@#", r) {
			return '_'
		}
		return r
	}, name)
}
