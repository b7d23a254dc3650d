package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"wrenspread/internal/registry"
)

// TestMovesDuringListDeliveryKeepOrder moves twice while a list is being delivered. The list of the first
// address is delivered before the list of the third address, and the second address is not called.
func TestMovesDuringListDeliveryKeepOrder(t *testing.T) {
	withFakeDiscovery(t, func(call int, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Query().Has("from"):
			neverRespond(w, r)
		case r.Host == "one:1":
			respondWithList(w, 42)
		default:
			respondWithList(w, 7)
		}
	}, func(ctx context.Context, s *fakeDiscovery) {
		d, _ := s.platform(false)
		busy, release, order := make(chan bool), make(chan bool), []uint64{}
		d.onList = func(l registry.ListResponse) {
			if l.Index == 42 {
				close(busy)
				<-release
			}
			order = append(order, l.Index)
		}
		d.Follow(ctx)
		<-busy
		d.Move(ctx, "two:1", false)
		d.Move(ctx, "three:1", false)
		synctest.Wait()
		close(release)
		synctest.Wait()
		if last := s.calls[len(s.calls)-1]; !slices.Equal(order, []uint64{42, 7}) || len(s.calls) != 3 || last.host != "three:1" || last.from != "7" {
			t.Errorf("lists %v after calls %+v", order, s.calls)
		}
	})
}

// TestPollRightAfterMoveReadsCompleteList checks that a poll that replaces the task of a move still begins
// with the complete list, because versions of the previous address have no meaning at the new address.
func TestPollRightAfterMoveReadsCompleteList(t *testing.T) {
	withFakeDiscovery(t, func(_ int, w http.ResponseWriter, r *http.Request) { neverRespond(w, r) }, func(ctx context.Context, s *fakeDiscovery) {
		d, _ := s.platform(true)
		d.Move(ctx, "two:1", true)
		d.Poll(ctx, false, true)
		synctest.Wait()
		if len(s.calls) != 1 || s.calls[0].host != "two:1" || s.calls[0].from != "" {
			t.Errorf("calls %+v", s.calls)
		}
	})
}

// TestHangingDialsDelayNoLaterCall checks that dials that hang do not delay a later call to the same address.
func TestHangingDialsDelayNoLaterCall(t *testing.T) {
	withFakeDiscovery(t, func(call int, w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("from") {
			neverRespond(w, r)
		}
		respondWithList(w, 42)
	}, func(ctx context.Context, s *fakeDiscovery) {
		d, lists := s.platform(false)
		hanging := make(chan bool)
		hangingDials := 2
		d.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address != "two:1" || hangingDials == 0 {
				return s.dial(ctx, network, address)
			}
			hangingDials--
			hanging <- true
			time.Sleep(gracePushed) // the longest time that the dialer may take, even if its caller has given up
			return nil, errors.New("no answer")
		}
		d.Follow(ctx)
		nextList(t, lists)
		for range hangingDials {
			d.Move(ctx, "two:1", false)
			<-hanging
			d.Move(ctx, "one:1", false)
			nextList(t, lists)
		}
		d.Move(ctx, "two:1", false)
		if l := nextList(t, lists); l.at > 0 {
			t.Errorf("the list arrives after %v", l.at)
		}
	})
}
