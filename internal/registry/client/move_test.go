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

// TestMovesWhileAListIsTaken: the previous address's list goes ahead of the newer one's, and a move that another
// overtakes asks nobody.
func TestMovesWhileAListIsTaken(t *testing.T) {
	inBubble(t, func(call int, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Query().Has("from"):
			silent(w, r)
		case r.Host == "one:1":
			tell(w, 42)
		default:
			tell(w, 7)
		}
	}, func(ctx context.Context, s *standIn) {
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
			t.Errorf("lists %v of the calls %+v", order, s.calls)
		}
	})
}

// TestMoveThatIsOvertaken by what the balancer asks for still begins with the complete list: versions of before mean nothing.
func TestMoveThatIsOvertaken(t *testing.T) {
	inBubble(t, func(_ int, w http.ResponseWriter, r *http.Request) { silent(w, r) }, func(ctx context.Context, s *standIn) {
		d, _ := s.platform(true)
		d.Move(ctx, "two:1", true)
		d.Poll(ctx, false, true)
		synctest.Wait()
		if len(s.calls) != 1 || s.calls[0].host != "two:1" || s.calls[0].from != "" {
			t.Errorf("calls %+v", s.calls)
		}
	})
}

// TestDialsThatStandStill hold up no later call to the same address.
func TestDialsThatStandStill(t *testing.T) {
	inBubble(t, func(call int, w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("from") {
			silent(w, r)
		}
		tell(w, 42)
	}, func(ctx context.Context, s *standIn) {
		d, lists := s.platform(false)
		stood := make(chan bool)
		left := 2
		d.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address != "two:1" || left == 0 {
				return s.dial(ctx, network, address)
			}
			left--
			stood <- true
			time.Sleep(gracePushed) // as long as the dialer may take, whoever still waits for it
			return nil, errors.New("no answer")
		}
		d.Follow(ctx)
		next(t, lists)
		for range left {
			d.Move(ctx, "two:1", false)
			<-stood
			d.Move(ctx, "one:1", false)
			next(t, lists)
		}
		d.Move(ctx, "two:1", false)
		if l := next(t, lists); l.at > 0 {
			t.Errorf("the list comes after %v", l.at)
		}
	})
}
