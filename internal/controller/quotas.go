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

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
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

// Quotas configures the allocation of limits to the proxies of a fleet. This process allocates while it holds
// the allocator's lease. It takes part in the fleet's membership to reach the proxies.
type Quotas struct {
	Fleet  string   `koanf:"fleet"`  // name of the fleet, as in the proxies' configuration; empty: no allocation
	Listen string   `koanf:"listen"` // address for datagrams; proxies must reach exactly this address
	Join   []string `koanf:"join"`   // peer addresses of some members, used to join the fleet
	Number int      `koanf:"number"` // index of this process in Peers, if Peers is not empty
	Peers  []string `koanf:"peers"`  // members' addresses by number; empty: the addresses that members advertise
}

// check adds the problems of the configuration to problems.
func (q Quotas) check(problems *config.Problems) {
	if q.Fleet == "" {
		problems.Require(q.Listen == "" && len(q.Join) == 0,
			"shares.fleet: missing; want the name of the fleet in the proxies' configuration")
		return
	}
	problems.Require(
		len(q.Fleet) <= wire.MaxName,
		"shares.fleet: %d bytes, at most %d",
		len(q.Fleet),
		wire.MaxName,
	)
	problems.Require(len(q.Join) > 0, "shares.join: missing; want the peer addresses of some proxies")
	problems.Require(len(q.Peers) == 0 || q.Number >= 0 && q.Number < len(q.Peers),
		"shares.number: %d is not an index of %d peers", q.Number, len(q.Peers))
	for _, address := range slices.Concat([]string{q.Listen}, q.Join, q.Peers) {
		_, err := netip.ParseAddrPort(address)
		problems.Require(err == nil, "shares: %q is no address: want one such as 127.0.0.1:7946", address)
	}
}

const (
	maxDatagramBytes   = 256                   // larger datagrams are discarded
	maxQueuedDatagrams = 4096                  // datagrams that 300 busy proxies send in a second
	maxQueuedEvents    = 16                    // events that wait for the allocator
	proxyCountInterval = time.Second           // between two reports of the number of proxies
	wallClockInterval  = time.Minute           // between two reports of the time of day
	readErrorPause     = 50 * time.Millisecond // after a failed read from the socket
)

// run takes part in the membership, follows the policy, and allocates limits while this process holds the
// lease, until ctx ends. name is the name of this process.
func (q Quotas) run(
	ctx context.Context, name string, registryClient *client.Client, session *lease.Session, log *slog.Logger,
) error {
	address, _ := netip.ParseAddrPort(q.Listen) // checked with the configuration
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("shares.listen: %w", err)
	}
	defer besteffort.Close(conn)
	members := q.join(ctx, name, address, conn, log)
	datagrams := make(chan []byte, maxQueuedDatagrams)
	events := make(chan quota.Event, maxQueuedEvents)
	jobs, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { besteffort.Close(conn) }) // makes receive return
	defer stop()
	jobs.Go(func() error { return receive(ctx, conn, members, datagrams) })
	jobs.Go(func() error {
		followPolicy(ctx, registryClient, events, log)
		return ctx.Err()
	})
	jobs.Go(func() error { return reportTimeAndProxies(ctx, members, events) })
	jobs.Go(func() error {
		return allocator.Run(ctx, allocator.Config{
			Fleet:     wire.FleetHash(q.Fleet),
			Name:      name,
			Registry:  registryClient,
			Leases:    session,
			Datagrams: datagrams,
			Send:      members.SendTo,
			Events:    events,
			Log:       log,
		})
	})
	return jobs.Wait()
}

// join takes part in the fleet's membership until ctx ends. This process serves no requests, so it always
// advertises the state joining.
func (q Quotas) join(
	ctx context.Context, name string, address netip.AddrPort, conn *net.UDPConn, log *slog.Logger,
) *gossip.Server {
	number := -1
	if len(q.Peers) > 0 {
		number = q.Number
	}
	return gossip.Start(ctx, gossip.Config{
		Fleet:      q.Fleet,
		Name:       name,
		Number:     number,
		Addr:       address,
		Seeds:      parseAddresses(q.Join),
		Peers:      parseAddresses(q.Peers),
		Log:        log,
		LocalState: func() (membership.State, uint16) { return membership.Joining, 0 },
		Send: func(to netip.AddrPort, data []byte) {
			besteffort.Datagram(conn.WriteToUDPAddrPort(data, to))
		},
	})
}

// parseAddresses parses the addresses of a configuration that has passed its check.
func parseAddresses(texts []string) (addresses []netip.AddrPort) {
	for _, text := range texts {
		address, _ := netip.ParseAddrPort(text)
		addresses = append(addresses, address)
	}
	return addresses
}

// receive passes the socket's datagrams on to the membership or the allocator, until the socket is closed. If
// the allocator's queue is full, its datagram is dropped.
func receive(
	ctx context.Context,
	conn *net.UDPConn,
	members *gossip.Server,
	toAllocator chan<- []byte,
) error {
	buffer := make([]byte, maxDatagramBytes+1)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			backoff.Sleep(ctx, readErrorPause)
		case n == 0 || n > maxDatagramBytes:
		case quota.IsOurs(buffer[0]):
			select {
			case toAllocator <- slices.Clone(buffer[:n]):
			default:
			}
		default:
			members.Receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
		}
	}
	return ctx.Err()
}

// followPolicy reports each new policy table to the allocator, with the previous table, until ctx ends.
func followPolicy(
	ctx context.Context,
	registryClient *client.Client,
	events chan<- quota.Event,
	log *slog.Logger,
) {
	var current *ratelimit.Table
	version := uint64(0)
	registryClient.FollowRecords(ctx, record.PolicyPrefix, func(records client.Records) {
		found := record.Find(records, record.CurrentKey)
		table, err := record.DecodeTable(found)
		if err != nil {
			log.Error("new policy invalid, keeping the current one", "err", err)
			return
		}
		if found.Version == version {
			return
		}
		version = found.Version
		sendEvent(ctx, events, quota.TableChanged{Current: table, Previous: current})
		current = table
	})
}

// reportTimeAndProxies reports the time of day and the approximate number of proxies to the allocator, until
// ctx ends.
func reportTimeAndProxies(ctx context.Context, members *gossip.Server, events chan<- quota.Event) error {
	ticker := time.NewTicker(proxyCountInterval)
	defer ticker.Stop()
	var reported time.Time
	for {
		if time.Since(reported) >= wallClockInterval {
			reported = time.Now()
			sendEvent(ctx, events, quota.WallClock{Time: reported})
		}
		sendEvent(ctx, events, quota.ExpectedProxies{Count: len(members.ServingMembers())})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendEvent sends an event to the allocator, unless ctx ends first.
func sendEvent(ctx context.Context, events chan<- quota.Event, event quota.Event) {
	select {
	case events <- event:
	case <-ctx.Done():
	}
}
