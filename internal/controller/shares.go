package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/config"
	"wrenspread/internal/lease"
	"wrenspread/internal/membership"
	"wrenspread/internal/membership/gossip"
	"wrenspread/internal/membership/wire"
	"wrenspread/internal/quota"
	"wrenspread/internal/quota/allocator"
	"wrenspread/internal/quota/record"
	"wrenspread/internal/registry/client"
	"wrenspread/ratelimit"
)

// Quotas says by which fleet's view this process shares limits out, whenever it holds the duty for it.
type Quotas struct {
	Fleet  string   `koanf:"fleet"`  // the fleet's name, as the nodes have it; empty: it shares none out
	Listen string   `koanf:"listen"` // for datagrams, reachable by the nodes under this very address
	Join   []string `koanf:"join"`   // members to join by
	Number int      `koanf:"number"` // this process's place among peers, where those are given
	Peers  []string `koanf:"peers"`  // where this process finds the members, by their numbers; without, where they say that they are
}

func (s Quotas) check(f *config.Problems) {
	if s.Fleet == "" {
		f.Require(s.Listen == "" && len(s.Join) == 0, "shares: fleet is missing; it names the fleet, as the nodes' configuration does")
		return
	}
	f.Require(len(s.Fleet) <= wire.MaxName, "shares.fleet: %d bytes, %d at most", len(s.Fleet), wire.MaxName)
	f.Require(len(s.Join) > 0, "shares.join: missing; it has the peer addresses of some nodes")
	f.Require(len(s.Peers) == 0 || s.Number >= 0 && s.Number < len(s.Peers), "shares.number: %d is no place among %d peers", s.Number, len(s.Peers))
	for _, a := range slices.Concat([]string{s.Listen}, s.Join, s.Peers) {
		_, err := netip.ParseAddrPort(a)
		f.Require(err == nil, "shares: %q is no address: want one such as 127.0.0.1:7946", a)
	}
}

const (
	maxDatagram    = 256
	datagramQueue  = 4096 // datagrams that wait for the holder: a second's of 300 busy nodes
	eventQueue     = 16   // events that wait for it
	expectInterval = time.Second
	wallInterval   = time.Minute
	readErrorPause = 50 * time.Millisecond // after a datagram that could not be read
)

// run takes part in the view, follows the policy and shares limits out whenever the duty is held, until ctx ends.
func (s Quotas) run(ctx context.Context, name string, k *client.Client, p *lease.Session, log *slog.Logger) error {
	at, _ := netip.ParseAddrPort(s.Listen) // checked with the configuration
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("shares.listen: %w", err)
	}
	defer conn.Close()
	shell := s.join(ctx, name, at, conn, log)
	in, events := make(chan []byte, datagramQueue), make(chan quota.Event, eventQueue)
	all, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	all.Go(func() error { return receive(ctx, conn, shell, in) })
	all.Go(func() error {
		followPolicy(ctx, k, events, log)
		return ctx.Err()
	})
	all.Go(func() error { return reportTimeAndProxies(ctx, shell, events) })
	all.Go(func() error {
		return allocator.Run(ctx, allocator.Config{Fleet: wire.FleetHash(s.Fleet), Name: name, Registry: k, Leases: p, In: in, Send: shell.SendTo, Events: events, Log: log})
	})
	return all.Wait()
}

// join begins to keep the view. This process serves no requests, and so is always joining in the nodes' eyes.
func (s Quotas) join(ctx context.Context, name string, at netip.AddrPort, conn *net.UDPConn, log *slog.Logger) *gossip.Server {
	number := -1
	if len(s.Peers) > 0 {
		number = s.Number
	}
	return gossip.Start(ctx, gossip.Config{Fleet: s.Fleet, Name: name, Number: number, Addr: at, Seeds: parseAddresses(s.Join), Peers: parseAddresses(s.Peers), Log: log,
		LocalState: func() (membership.State, uint16) { return membership.Joining, 0 },
		Send:       func(to netip.AddrPort, data []byte) { conn.WriteToUDPAddrPort(data, to) }}) // none is owed an arrival
}

// parseAddresses are those of a configuration that has been checked.
func parseAddresses(texts []string) (all []netip.AddrPort) {
	for _, text := range texts {
		a, _ := netip.ParseAddrPort(text)
		all = append(all, a)
	}
	return all
}

// receive shares the socket between the view and the holder until it is closed. One datagram too many is lost.
func receive(ctx context.Context, conn *net.UDPConn, shell *gossip.Server, in chan<- []byte) error {
	buf := make([]byte, maxDatagram+1)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			time.Sleep(readErrorPause)
		case n == 0 || n > maxDatagram:
		case quota.IsOurs(buf[0]):
			select {
			case in <- append([]byte(nil), buf[:n]...):
			default:
			}
		default:
			shell.Receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
		}
	}
	return ctx.Err()
}

// followPolicy tells the holder of each table, with the one before it.
func followPolicy(ctx context.Context, k *client.Client, events chan<- quota.Event, log *slog.Logger) {
	var now *ratelimit.Table
	version := uint64(0)
	k.FollowRecords(ctx, record.PolicyPrefix, func(r client.Records) {
		one := record.Find(r, record.CurrentKey)
		t, err := record.DecodeTable(one)
		if err != nil {
			log.Error("the policy stays as it was", "err", err)
			return
		}
		if one.Version == version {
			return
		}
		version = one.Version
		sendEvent(ctx, events, quota.TableChanged{Current: t, Previous: now})
		now = t
	})
}

// reportTimeAndProxies tells the holder the time of day, and how many nodes there are about.
func reportTimeAndProxies(ctx context.Context, shell *gossip.Server, events chan<- quota.Event) error {
	t := time.NewTicker(expectInterval)
	defer t.Stop()
	var told time.Time
	for {
		if time.Since(told) >= wallInterval {
			told = time.Now()
			sendEvent(ctx, events, quota.WallClock{Time: told})
		}
		sendEvent(ctx, events, quota.ExpectedProxies{Count: len(shell.ServingMembers())})
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func sendEvent(ctx context.Context, events chan<- quota.Event, e quota.Event) {
	select {
	case events <- e:
	case <-ctx.Done():
	}
}
