package allocator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"wrenspread/internal/lab/labtest"
	"wrenspread/internal/lease"
	"wrenspread/internal/quota"
	"wrenspread/internal/registry/client"
	"wrenspread/ratelimit"
)

// bus carries datagrams between the allocators and the proxies' ledgers of one test.
type bus struct {
	mu      sync.Mutex
	ledgers map[string]*quota.Ledger
	inboxes map[string]chan []byte
	start   time.Time
}

func (b *bus) send(to string, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ledger := b.ledgers[to]; ledger != nil {
		b.sendAll(ledger.Handle(time.Since(b.start), quota.Message{Data: data}))
	}
}

// sendAll sends the datagrams among the actions to allocators. The caller has locked mu.
func (b *bus) sendAll(all []quota.Action) {
	for _, a := range all {
		if s, ok := a.(quota.Send); ok {
			select {
			case b.inboxes[s.To] <- s.Data:
			default:
			}
		}
	}
}

// tick tells every ledger the allocator's name, creates more demand than the limit allows, and passes a Tick.
func (b *bus) tick(allocatorName string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ledger := range b.ledgers {
		now := time.Since(b.start)
		b.sendAll(ledger.Handle(now, quota.AllocatorKnown{Name: allocatorName, Token: 1}))
		ledger.Rejected(0, 100)
		b.sendAll(ledger.Handle(now, quota.Tick{}))
	}
}

// everyLedger reports whether holds returns true for every ledger.
func (b *bus) everyLedger(holds func(quota.Status, *quota.Ledger) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ledger := range b.ledgers {
		if !holds(ledger.Status(), ledger) {
			return false
		}
	}
	return true
}

func table(t *testing.T) *ratelimit.Table {
	table := &ratelimit.Table{Format: ratelimit.Format, Version: 1,
		Scopes: []ratelimit.Scope{{Parent: -1, LimitCount: 1}},
		Limits: []ratelimit.Limit{{Name: "fleet", Parent: -1, Rate: 100, Burst: 50, Floor: 100, Weight: 1, FallbackShare: 0.25, Status: 429}},
	}
	if err := table.Finalize(); err != nil {
		t.Fatal(err)
	}
	return table
}

// An allocator leases shares and enrolls the proxies in the record. When it ends, the next allocator
// continues to lease shares under a higher fencing token, and the slots in the record stay.
func TestNextAllocatorContinuesUnderHigherToken(t *testing.T) {
	address, registryClient := labtest.StartRegistry(t)
	b := &bus{ledgers: map[string]*quota.Ledger{}, inboxes: map[string]chan []byte{}, start: time.Now()}
	limits := table(t)
	for i := range 3 {
		ledger := quota.NewLedger(quota.LedgerConfig{Fleet: 7, Name: fmt.Sprintf("n%d", i), Generation: 1})
		ledger.Handle(0, quota.TableChanged{Current: limits})
		b.ledgers[fmt.Sprintf("n%d", i)] = ledger
	}
	run := func(name string) (end func()) {
		c, err := client.New(client.Config{Addresses: []string{address}})
		if err != nil {
			t.Fatal(err)
		}
		session, err := lease.Open(lease.Config{Client: c, Process: name, TTL: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		events := make(chan quota.Event, 1)
		events <- quota.TableChanged{Current: limits}
		in := make(chan []byte, 100)
		b.mu.Lock()
		b.inboxes[name] = in
		b.mu.Unlock()
		stop := labtest.Start(t, func(ctx context.Context) error {
			err := Run(ctx, Config{Fleet: 7, Name: name, Registry: c, Leases: session, Datagrams: in, Send: b.send, Events: events})
			if errors.Is(err, context.Canceled) {
				err = session.Close(labtest.HangTimeout)
			}
			return err
		})
		return func() { stop(); c.Close() }
	}
	endFirst := run("h0")
	leased := func(above uint64) func() bool {
		return func() bool {
			b.tick(fmt.Sprintf("h%d", min(above, 1)))
			return b.everyLedger(func(s quota.Status, n *quota.Ledger) bool { return s.Token > above && n.Capacity(0) >= 10 })
		}
	}
	labtest.Await(t, "a lease for each proxy", leased(0))
	var slots []quota.Slot
	labtest.Await(t, "a slot for each proxy", func() (found bool) {
		b.tick("h0")
		slots, _, _ = readSlots(t.Context(), registryClient)
		return len(slots) == 3
	})
	var token uint64
	b.everyLedger(func(s quota.Status, _ *quota.Ledger) bool { token = s.Token; return true })
	endSecond := run("h1")
	endFirst()
	labtest.Await(t, "the next allocator's leases", func() bool {
		b.mu.Lock()
		for _, ledger := range b.ledgers { // as the proxies' watch of the lease notifies them
			b.sendAll(ledger.Handle(time.Since(b.start), quota.AllocatorKnown{Name: "h1", Token: token + 1}))
		}
		b.mu.Unlock()
		return leased(token)()
	})
	if current, _, err := readSlots(t.Context(), registryClient); err != nil || len(current) != 3 || current[0] != slots[0] {
		t.Errorf("slots %v after the change of allocator, %v before: %v", current, slots, err)
	}
	endSecond()
}
