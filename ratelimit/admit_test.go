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

// Admit says what a plain reading of the table says, and takes all or nothing.
func TestAdmitAgainstAPlainReading(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		h := tokensOf(table)
		for i := range h.left {
			h.full[i] = float64(rapid.IntRange(0, 6).Draw(t, "full"))
			h.left[i] = float64(rapid.IntRange(0, int(h.full[i])).Draw(t, "left"))
		}
		for range 6 {
			a := drawAsk(t)
			takes, priority := plainly(table, a)
			before := slices.Clone(h.left)
			lacks := map[int]bool{-1: false}
			for at, n := range takes {
				l := table.Limits[table.LimitOf(at)]
				reserve := l.PriorityReserve * h.full[at]
				if before[at] < n || n > 0 && !priority && before[at]-n < reserve && before[at] < h.full[at] {
					lacks[table.LimitOf(at)] = true
				}
			}
			if a.Degradation > 0 && a.Class == "b" || a.Degradation > 1 && a.Class == "c" {
				lacks = map[int]bool{-1: true}
			}
			v := table.Admit(a, h)
			if !v.Admitted {
				if !lacks[v.Limit] || !slices.Equal(before, h.left) {
					t.Fatalf("%+v refused by %d; %v lack, hand %v before and %v after", a, v.Limit, lacks, before, h.left)
				}
				continue
			}
			if slices.Contains(slices.Collect(maps.Values(lacks)), true) {
				t.Fatalf("%+v admitted, and %v lack", a, lacks)
			}
			for at := range before {
				if h.left[at] != before[at]-takes[at] {
					t.Fatalf("%+v takes %v of %d: %v before and %v after", a, takes[at], at, before[at], h.left[at])
				}
			}
			if rapid.Bool().Draw(t, "ends") {
				v.Reservation.Release(h)
				for at := range before {
					if open := at < len(table.Limits) && table.Limits[at].Unit == UnitConcurrency; open && h.left[at] != before[at] {
						t.Fatalf("%d open left after the end, %v before", at, before[at])
					}
				}
			}
		}
	})
}

// A table comes back from its bytes with its digest; a byte changed in it is noticed; a later field passes.
func TestTableThroughItsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		table.Version = rapid.Uint64().Draw(t, "version")
		data := table.JSON()
		back, err := Read(data)
		if err != nil || string(back.JSON()) != string(data) {
			t.Fatalf("%v: %s", err, data)
		}
		data[rapid.IntRange(len(`{"format":`), len(data)-2).Draw(t, "at")] ^= 1
		if _, err := Read(data); err == nil && string(data[:60]) == string(table.JSON()[:60]) {
			t.Fatalf("taken with a byte changed: %s", data)
		}
	})
	table := newTable()
	table.add(-1, AttributeFleet, "", UnitRequests)
	if err := table.Finalize(); err != nil {
		t.Fatal(err)
	}
	later := fmt.Sprintf(`"zone":0,"later":[1],%s`, table.JSON()[len(`{"format":1,"version":0,"digest":"","zone":0,`)+64:])
	later = fmt.Sprintf(`{"format":1,"version":7,"digest":%q,%s`, digest(1, []byte(later)), later)
	if _, err := Read([]byte(later)); err != nil {
		t.Error(err)
	}
}

// Bytes from anywhere are a table or an error.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"format":1,"version":0,"digest":"","parts":[{"within":-1}],"limits":[{"part":9}]}`))
	f.Add([]byte(`{"parts":null}`))
	f.Add([]byte(`{"format":1,"version":0,"digest":"","zone":0,"parts":[{"within":-1,"first":0,"count":3}],"limits":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Read(data); err == nil {
			return
		}
		bad := &Table{}
		if json.Unmarshal(data, bad) == nil {
			_ = bad.Finalize() // whatever it holds
		}
	})
}

// BenchmarkAdmit is what a request pays for a table: 7 limits touched out of 10 and of 10,000.
func BenchmarkAdmit(b *testing.B) {
	for _, books := range []int{1, 2498} {
		table := newTable()
		table.add(-1, AttributeFleet, "", UnitRequests, UnitWork, UnitConcurrency)
		for i := range books {
			p := table.add(0, AttributeTenant, fmt.Sprintf("book-%04d", i), UnitRequests, UnitWork, UnitConcurrency)
			table.add(p, AttributeClass, "view", UnitRequests)
		}
		for len(table.Limits) < 10 {
			table.add(0, AttributeSite, fmt.Sprintf("site-%d", len(table.Limits)), UnitRequests)
		}
		if err := table.Finalize(); err != nil {
			b.Fatal(err)
		}
		h := tokensOf(table)
		for i := range h.left {
			h.left[i], h.full[i] = 1e15, 1e15
		}
		b.Run(fmt.Sprintf("%d limits", len(table.Limits)), func(b *testing.B) {
			b.ReportAllocs()
			a := Request{Site: "site-7", Tenant: "book-0000", Class: "view", Key: "k", Work: time.Millisecond}
			for b.Loop() {
				if v := table.Admit(a, h); !v.Admitted {
					b.Fatal(v)
				}
			}
		})
	}
}
