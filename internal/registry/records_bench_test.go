package registry

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// plannedRecords returns a state with a record of 231 bytes for each tenant and a catalogue page of 2.3 kB
// for each ten tenants. The design size is 200,000 tenants.
func plannedRecords(tenants int) *State {
	s := NewState()
	s.Apply(Command{Op: OpBegin, Epoch: "e"})
	text := func(n int) json.RawMessage { return json.RawMessage(`"` + strings.Repeat("x", n-2) + `"`) }
	for i := range tenants {
		s.Apply(Command{Op: OpPutRecord, Name: fmt.Sprintf("tenant/%06d", i*7919%tenants), Value: text(231)})
		if i%10 == 0 {
			s.Apply(Command{Op: OpPutRecord, Name: fmt.Sprintf("catalogue/page/%016x", i*2654435761), Value: text(2310)})
		}
	}
	s.Apply(Command{Op: OpPutRecord, Name: "policy/now", Value: text(1000)})
	return s
}

// BenchmarkRecords measures what records cost a replica: a change, a new record, the response to a woken
// watcher, the copy for a snapshot (which blocks changes), and the encoding and decoding of the snapshot.
func BenchmarkRecords(b *testing.B) {
	for _, n := range []int{800, 20000, 200000} {
		s := plannedRecords(n)
		raw, err := s.EncodeSnapshot()
		if err != nil || len(s.records) != n+n/10+1 {
			b.Fatal(err, len(s.records))
		}
		value := json.RawMessage(`"` + strings.Repeat("y", 229) + `"`)
		for name, operation := range map[string]func(i int){
			"change": func(i int) {
				s.Apply(Command{Op: OpPutRecord, Name: fmt.Sprintf("tenant/%06d", i%n), Value: value})
			},
			"add-and-remove": func(i int) {
				s.Apply(Command{Op: OpPutRecord, Name: "tenant/new", Value: value})
				s.Apply(Command{Op: OpPutRecord, Name: "tenant/new"})
			},
			"woken":    func(int) { s.RecordsSince("policy/", s.version, 1) },
			"read-all": func(int) { s.Records("tenant/") },
			"copy":     func(int) { s.Snapshot() },
			"snapshot": func(int) { _, _ = s.EncodeSnapshot() },
			"restore": func(int) {
				if _, err := DecodeSnapshot(raw); err != nil {
					b.Fatal(err)
				}
			},
		} {
			b.Run(fmt.Sprint(name, "/", n), func(b *testing.B) {
				b.ReportAllocs()
				b.ReportMetric(float64(len(raw)), "snapshot_bytes")
				for i := range b.N {
					operation(i)
				}
			})
		}
	}
}
