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
	"wrenspread/internal/proxy/listener"
)

// requestOutcome is the outcome of a request, as /stats counts it.
type requestOutcome int

const (
	outcomeSucceeded requestOutcome = iota
	outcomeDeclined
	outcomeAborted
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"succeeded", "declined", "aborted"}

// stats counts what /stats shows. The counters are updated where the events happen, not by the loop, so that
// a reader doesn't wait for the loop.
type stats struct {
	forwards, outstanding, discovered, ejected atomic.Int64
	sighupApplied, sighupRejected              atomic.Int64
	acceptErrors, memoryRejections, pauses     atomic.Int64
	repeatedIDs, panics, unansweredByLoop      atomic.Int64

	connections listener.Counts // of clients

	mu        sync.RWMutex
	results   map[string]*[outcomeCount]atomic.Int64 // by class, including classes that a reload has dropped
	endpoints map[string]*endpointCounts             // by name; nil: not counted by endpoint
}

// endpointCounts are the ended attempts at an endpoint. Late attempts are also counted as succeeded.
type endpointCounts struct{ succeeded, failed, late int64 }

// newStats returns stats for the classes; with byEndpoint it also counts attempts by endpoint.
func newStats(classes []balancer.Class, byEndpoint bool) *stats {
	s := &stats{results: map[string]*[outcomeCount]atomic.Int64{}}
	if byEndpoint {
		s.endpoints = map[string]*endpointCounts{}
	}
	s.addClasses(classes)
	return s
}

// addClasses adds counters for the classes that have none yet.
func (s *stats) addClasses(classes []balancer.Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range classes {
		if s.results[c.Name] == nil {
			s.results[c.Name] = new([outcomeCount]atomic.Int64)
		}
	}
}

// count counts the end of a request of a known class.
func (s *stats) count(class string, outcome requestOutcome) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if r := s.results[class]; r != nil {
		r[outcome].Add(1)
	}
}

// attempt counts the end of an attempt at an endpoint. Attempts that the proxy cancelled or never sent are
// not counted, as they show nothing about the endpoint. Attempts at an endpoint without a name are not
// counted either.
func (s *stats) attempt(endpoint string, outcome balancer.Outcome, late bool) {
	if endpoint == "" || outcome == balancer.NotSent || outcome == balancer.Cancelled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.endpoints[endpoint]
	if counts == nil {
		counts = &endpointCounts{}
		s.endpoints[endpoint] = counts
	}
	switch {
	case outcome != balancer.OK:
		counts.failed++
	case late:
		counts.late++
		counts.succeeded++
	default:
		counts.succeeded++
	}
}

// forget drops the counters of an endpoint that has left the list.
func (s *stats) forget(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.endpoints, endpoint)
}

// write writes all metrics as lines of text, classes and endpoints sorted by name.
func (s *stats) write(w io.Writer) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var names []string
	for name := range s.results {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for outcome, outcomeName := range outcomeNames {
			besteffort.Output(
				fmt.Fprintf(
					w,
					"app.results.%s.%s:%d|c\n",
					sanitizeLabel(name),
					outcomeName,
					s.results[name][outcome].Load(),
				),
			)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.endpoints)) {
		counts := s.endpoints[name]
		besteffort.Output(
			fmt.Fprintf(
				w,
				"app.backends.%s.succeeded:%d|c\napp.backends.%s.failed:%d|c\napp.backends.%s.late:%d|c\n",
				sanitizeLabel(name),
				counts.succeeded,
				sanitizeLabel(name),
				counts.failed,
				sanitizeLabel(name),
				counts.late,
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
		counter("app.accept_errors", s.acceptErrors.Load()),
		counter("app.memory_rejected", s.memoryRejections.Load()),
		counter("app.client_pauses", s.pauses.Load()),
		counter("app.repeated_ids", s.repeatedIDs.Load()),
		counter("app.panics", s.panics.Load()),
		counter("app.unanswered_by_loop", s.unansweredByLoop.Load()),
	})
	writeStats(w, connectionStats(&s.connections))
}

// connectionStats returns the metrics of clients' connections.
func connectionStats(counts *listener.Counts) (stats []stat) {
	for reason := range counts.Closes {
		name := "app.client_closes." + listener.CloseReason(reason).String()
		stats = append(stats, counter(name, counts.Closes[reason].Load()))
	}
	return append(stats,
		counter("app.client_closes_withheld", counts.Withheld.Load()),
		counter("app.client_closes_crossed", counts.Crossed.Load()),
		counter("app.client_ends.memory", counts.EndedForMemory.Load()),
		counter("app.client_ends.drained", counts.EndedForDrain.Load()),
		counter("app.client_ends.timeout", counts.EndedForTimeout.Load()),
	)
}

// stat is a metric in the line format of statsd.
type stat struct {
	name  string
	value int64
	kind  string // "c" for a counter, "g" for a gauge
}

// counter is a metric that counts from the start of the process.
func counter(name string, value int64) stat { return stat{name, value, "c"} }

// gauge is a metric that shows the present value.
func gauge(name string, value int64) stat { return stat{name, value, "g"} }

// flag is a gauge that is 1 or 0.
func flag(name string, on bool) stat {
	if on {
		return gauge(name, 1)
	}
	return gauge(name, 0)
}

// writeStats writes a line for each metric.
func writeStats(w io.Writer, stats []stat) {
	for _, s := range stats {
		besteffort.Output(fmt.Fprintf(w, "%s:%d|%s\n", s.name, s.value, s.kind))
	}
}

// sanitizeLabel replaces each character in the name of a class or an endpoint that would end the line or that
// part of the metric's name.
func sanitizeLabel(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == 0x7f || strings.ContainsRune(".:|@#", r) {
			return '_'
		}
		return r
	}, name)
}
