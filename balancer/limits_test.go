package balancer

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
		h := handOf(table)
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
				reserve := l.Reserve * h.full[at]
				if before[at] < n || n > 0 && !priority && before[at]-n < reserve && before[at] < h.full[at] {
					lacks[table.LimitOf(at)] = true
				}
			}
			if a.Level > 0 && a.Class == "b" || a.Level > 1 && a.Class == "c" {
				lacks = map[int]bool{-1: true}
			}
			v := table.Admit(a, h)
			if !v.OK {
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
				v.Held.Release(h)
				for at := range before {
					if open := at < len(table.Limits) && table.Limits[at].Unit == UnitOpen; open && h.left[at] != before[at] {
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
		back, err := ReadTable(data)
		if err != nil || string(back.JSON()) != string(data) {
			t.Fatalf("%v: %s", err, data)
		}
		data[rapid.IntRange(len(`{"format":`), len(data)-2).Draw(t, "at")] ^= 1
		if _, err := ReadTable(data); err == nil && string(data[:60]) == string(table.JSON()[:60]) {
			t.Fatalf("taken with a byte changed: %s", data)
		}
	})
	table := newTable()
	table.add(-1, OfFleet, "", UnitRequests)
	if err := table.Ready(); err != nil {
		t.Fatal(err)
	}
	later := fmt.Sprintf(`"zone":0,"later":[1],%s`, table.JSON()[len(`{"format":1,"version":0,"digest":"","zone":0,`)+64:])
	later = fmt.Sprintf(`{"format":1,"version":7,"digest":%q,%s`, digest(1, []byte(later)), later)
	if _, err := ReadTable([]byte(later)); err != nil {
		t.Error(err)
	}
}

// Bytes from anywhere are a table or an error.
func FuzzReadTable(f *testing.F) {
	f.Add([]byte(`{"format":1,"version":0,"digest":"","parts":[{"within":-1}],"limits":[{"part":9}]}`))
	f.Add([]byte(`{"parts":null}`))
	f.Add([]byte(`{"format":1,"version":0,"digest":"","zone":0,"parts":[{"within":-1,"first":0,"count":3}],"limits":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := ReadTable(data); err == nil {
			return
		}
		bad := &Table{}
		if json.Unmarshal(data, bad) == nil {
			_ = bad.Ready() // whatever it holds
		}
	})
}

// requests sends some through a module and gives what it did.
func drive(m *Module, n int, classes ...string) (out [][]Action) {
	now := time.Hour
	m.Handle(now, ListUpdate{Kind: ListFull, Entries: []Server{{ID: 1}, {ID: 2}}})
	for i := range n {
		now += time.Millisecond
		out = append(out, m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: classes[i%len(classes)], Tenant: "book",
			Patience: time.Second}))
	}
	return out
}

func plainModule() *Module {
	return New(Settings{Nodes: 1, MaxAttempts: 2, HoldOffs: true, MaxHoldOff: time.Minute, MinTick: time.Millisecond, Zone: "site",
		Classes: []Class{{Name: "view", Worth: 1, Aim: time.Second, Deadline: time.Second}}}, 1)
}

func openTable(t *testing.T) (*Table, *tokens) {
	table := newTable()
	table.add(-1, OfFleet, "", UnitOpen)
	table.Limits[0].Wait = 10 * time.Second
	table.Levels = []Level{{Above: 0.5, Refuse: []string{"report"}, Status: 503, Wait: time.Second}}
	if err := table.Ready(); err != nil {
		t.Fatal(err)
	}
	h := handOf(table)
	h.left[0], h.full[0] = 2, 2
	return table, h
}

// The table that holds refuses with its status and wait, and what ends is given back to its hand, also after the next
// table came.
func TestTableHolds(t *testing.T) {
	table, h := openTable(t)
	m := plainModule()
	m.Handle(0, TableChanged{Table: table, Hand: h})
	out := drive(m, 3, "view")
	r, ok := out[2][0].(Refuse)
	if !ok || m.requests["2"] != nil || r.Status != 429 || r.HoldOff < 5*time.Second || r.HoldOff > 15*time.Second || h.left[0] != 0 {
		t.Fatalf("%+v, %v left", out, h.left)
	}
	m.Handle(time.Hour+time.Second, LevelChanged{Level: 1})
	if out := m.Handle(time.Hour+time.Second, RequestArrived{ID: "x", Class: "report", Patience: time.Second}); out[0].(Refuse).Status != 503 {
		t.Fatalf("%+v at level 1", out)
	}
	if holds, tried := m.Tallies(); holds.Asked != 4 || !slices.Equal(holds.By, []uint64{1, 1}) || tried.Asked != 0 {
		t.Fatalf("%+v, %+v", holds, tried)
	}
	m.Handle(time.Hour+time.Second, TableChanged{})
	m.Handle(time.Hour+time.Second, AttemptEnded{ID: "0", Server: out[0][0].(Send).Server, Code: OK, Over: true})
	m.Handle(time.Hour+time.Second, RequestAbandoned{ID: "1"})
	if h.left[0] != 2 {
		t.Fatalf("%v left when all have ended", h.left)
	}
}

// A table that is tried counts, and changes nothing.
func TestTableTried(t *testing.T) {
	table, h := openTable(t)
	m := plainModule()
	m.Handle(0, TableChanged{Table: table, Hand: h, Shadow: true})
	got, want := drive(m, 40, "view"), drive(plainModule(), 40, "view")
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%v\nwithout a table %v", got, want)
	}
	if holds, tried := m.Tallies(); tried.Asked != 40 || tried.Refused != 38 || tried.Apart != 38 || holds.Asked != 0 {
		t.Fatalf("%+v, %+v", holds, tried)
	}
}

// BenchmarkAdmit is what a request pays for a table: 7 limits touched out of 10 and of 10,000.
func BenchmarkAdmit(b *testing.B) {
	for _, books := range []int{1, 2498} {
		table := newTable()
		table.add(-1, OfFleet, "", UnitRequests, UnitWork, UnitOpen)
		for i := range books {
			p := table.add(0, OfBook, fmt.Sprintf("book-%04d", i), UnitRequests, UnitWork, UnitOpen)
			table.add(p, OfClass, "view", UnitRequests)
		}
		for len(table.Limits) < 10 {
			table.add(0, OfSite, fmt.Sprintf("site-%d", len(table.Limits)), UnitRequests)
		}
		if err := table.Ready(); err != nil {
			b.Fatal(err)
		}
		h := handOf(table)
		for i := range h.left {
			h.left[i], h.full[i] = 1e15, 1e15
		}
		b.Run(fmt.Sprintf("%d limits", len(table.Limits)), func(b *testing.B) {
			b.ReportAllocs()
			a := Ask{Site: "site-7", Book: "book-0000", Class: "view", Key: "k", Cost: time.Millisecond}
			for b.Loop() {
				if v := table.Admit(a, h); !v.OK {
					b.Fatal(v)
				}
			}
		})
	}
}
