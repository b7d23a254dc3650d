package ratelimit

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"
)

// Admit must agree with a straightforward evaluation of the table, and must take tokens from all limits or
// from none.
func TestAdmitAgreesWithAReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		tokens := newTokens(table)
		for i := range tokens.available {
			tokens.capacity[i] = float64(rapid.IntRange(0, 6).Draw(t, "capacity"))
			tokens.available[i] = float64(rapid.IntRange(0, int(tokens.capacity[i])).Draw(t, "available"))
		}
		for range 6 {
			request := drawRequest(t)
			charges, priority := expectedCharges(table, request)
			before := slices.Clone(tokens.available)
			lacking := map[int]bool{-1: false}
			for slot, amount := range charges {
				limit := table.Limits[table.LimitOfSlot(slot)]
				reserve := limit.PriorityReserve * tokens.capacity[slot]
				if before[slot] < amount || amount > 0 && !priority && before[slot]-amount < reserve && before[slot] < tokens.capacity[slot] {
					lacking[table.LimitOfSlot(slot)] = true
				}
			}
			if request.Degradation > 0 && request.Class == "b" || request.Degradation > 1 && request.Class == "c" {
				lacking = map[int]bool{-1: true}
			}
			decision := table.Admit(request, tokens)
			if !decision.Admitted {
				if !lacking[decision.Limit] || !slices.Equal(before, tokens.available) {
					t.Fatalf("request %+v rejected by limit %d; lacking tokens: %v, available %v before and %v after", request, decision.Limit, lacking, before, tokens.available)
				}
				continue
			}
			if slices.Contains(slices.Collect(maps.Values(lacking)), true) {
				t.Fatalf("request %+v admitted, lacking tokens: %v", request, lacking)
			}
			for slot := range before {
				if tokens.available[slot] != before[slot]-charges[slot] {
					t.Fatalf("request %+v should take %v tokens of slot %d: %v available before and %v after", request, charges[slot], slot, before[slot], tokens.available[slot])
				}
			}
			if rapid.Bool().Draw(t, "ended") {
				decision.Reservation.Release(tokens)
				for slot := range before {
					if open := slot < len(table.Limits) && table.Limits[slot].Unit == UnitConcurrency; open && tokens.available[slot] != before[slot] {
						t.Fatalf("slot %d: its tokens were not returned at the end, want %v available", slot, before[slot])
					}
				}
			}
		}
	})
}

// A decoded table encodes to the same bytes, a changed byte is detected, and unknown fields are accepted.
func TestTableEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		table.Version = rapid.Uint64().Draw(t, "version")
		data := table.JSON()
		decoded, err := Read(data)
		if err != nil || string(decoded.JSON()) != string(data) {
			t.Fatalf("%v: %s", err, data)
		}
		data[rapid.IntRange(len(`{"format":`), len(data)-2).Draw(t, "changed byte")] ^= 1
		if _, err := Read(data); err == nil && string(data[:60]) == string(table.JSON()[:60]) {
			t.Fatalf("table accepted with a byte changed: %s", data)
		}
	})
	table := newTable()
	table.addScope(-1, AttributeFleet, "", UnitRequests)
	if err := table.Finalize(); err != nil {
		t.Fatal(err)
	}
	extended := fmt.Sprintf(`"zone":0,"later":[1],%s`, table.JSON()[len(`{"format":1,"version":0,"digest":"","zone":0,`)+64:])
	extended = fmt.Sprintf(`{"format":1,"version":7,"digest":%q,%s`, digest(1, []byte(extended)), extended)
	if _, err := Read([]byte(extended)); err != nil {
		t.Error(err)
	}
}

// Any bytes decode to a table or to an error, without a panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"format":1,"version":0,"digest":"","parts":[{"within":-1}],"limits":[{"part":9}]}`))
	f.Add([]byte(`{"parts":null}`))
	f.Add([]byte(`{"format":1,"version":0,"digest":"","zone":0,"parts":[{"within":-1,"first":0,"count":3}],"limits":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Read(data); err == nil {
			return
		}
		table := &Table{}
		if json.Unmarshal(data, table) == nil {
			_ = table.Finalize() // must not panic
		}
	})
}

// BenchmarkAdmit measures what a table costs a request that matches 7 limits, out of 10 and of 10,000.
func BenchmarkAdmit(b *testing.B) {
	for _, tenants := range []int{1, 2498} {
		table := newTable()
		table.addScope(-1, AttributeFleet, "", UnitRequests, UnitWork, UnitConcurrency)
		for i := range tenants {
			tenantScope := table.addScope(0, AttributeTenant, fmt.Sprintf("book-%04d", i), UnitRequests, UnitWork, UnitConcurrency)
			table.addScope(tenantScope, AttributeClass, "view", UnitRequests)
		}
		for len(table.Limits) < 10 {
			table.addScope(0, AttributeSite, fmt.Sprintf("site-%d", len(table.Limits)), UnitRequests)
		}
		if err := table.Finalize(); err != nil {
			b.Fatal(err)
		}
		tokens := newTokens(table)
		for i := range tokens.available {
			tokens.available[i], tokens.capacity[i] = 1e15, 1e15
		}
		b.Run(fmt.Sprintf("%d limits", len(table.Limits)), func(b *testing.B) {
			b.ReportAllocs()
			request := Request{Site: "site-7", Tenant: "book-0000", Class: "view", Key: "k", Work: time.Millisecond}
			for b.Loop() {
				if decision := table.Admit(request, tokens); !decision.Admitted {
					b.Fatal(decision)
				}
			}
		})
	}
}
