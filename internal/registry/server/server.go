package server

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// Server runs one replica of the registry.
type Server struct {
	config        Config
	log           *slog.Logger
	machine       *machine
	listHub       *hub
	replica       *replica
	leaseHub      *hub
	recordHub     *hub
	expiry        *expiry
	sessions      *sessions
	rates         *rates
	contact       *leaderContact
	metrics       *metrics
	http          *http.Server
	stop          context.CancelFunc
	ctx           context.Context // of the background tasks and of waiting calls
	broken        chan error      // gets the error because of which this replica has to stop
	completeReads chan struct{}   // slots: one element for each complete subset that is being sent
	tasks         sync.WaitGroup
}

const (
	headerTimeout   = 5 * time.Second
	requestTimeout  = 30 * time.Second // for reading a request, including its body
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 16 << 10
	shutdownTimeout = 5 * time.Second // for calls that are open when the server stops

	replayCheckInterval = 20 * time.Millisecond
)

// Run runs a replica until ctx ends, and then transfers its leadership and shuts down. It returns an error if
// the replica could not serve or did not shut down in an orderly way.
func Run(ctx context.Context, c Config, log *slog.Logger) error {
	if err := c.Check(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &Server{
		config:  c,
		log:     log,
		rates:   newRates(c.MaxWrites),
		contact: newLeaderContact(),
		broken:  make(chan error, 1),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	defer s.stop()
	if err := s.open(); err != nil {
		besteffort.Close(ln)
		return err
	}
	s.tasks.Go(func() { s.listHub.run(s.ctx.Done()) })
	s.tasks.Go(func() { s.leaseHub.run(s.ctx.Done()) })
	s.tasks.Go(func() { s.recordHub.run(s.ctx.Done()) })
	s.tasks.Go(func() { s.expiry.run(s.ctx) })
	s.tasks.Go(func() { s.sessions.run(s.ctx) })
	s.tasks.Go(s.followLeader)
	s.tasks.Go(func() { s.contact.run(s.ctx, c.ElectionTimeout, s.replica.leader) })
	s.tasks.Go(func() { s.contact.awaitReplay(s.ctx, replayCheckInterval, s.replica, s.machine) })
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(ln) }()
	log.Info("serving", "listen", ln.Addr().String(), "folder", c.Folder, "named", len(c.Replicas))
	select {
	case <-ctx.Done():
		err = nil
	case err = <-served:
	case err = <-s.broken:
	}
	return errors.Join(err, s.shutdown())
}

// open creates the state machine and its observers, and starts raft.
func (s *Server) open() error {
	s.completeReads = make(chan struct{}, maxCompleteReads)
	s.machine = &machine{state: registry.NewState(), onBroken: func(err error) { s.broken <- err }}
	s.listHub, s.leaseHub, s.recordHub = newHub(s.machine), newHub(s.machine), newHub(s.machine)
	apply := func(c registry.Command) (registry.Result, error) { return s.replica.apply(c) }
	s.expiry = &expiry{start: time.Now(), machine: s.machine, log: s.log, apply: apply}
	s.sessions = &sessions{start: time.Now(), machine: s.machine, log: s.log, apply: apply}
	s.machine.onApplied = func(c registry.Command, _ registry.Result) {
		s.expiry.applied(c, s.machine.state)
		s.sessions.applied(c)
		state := s.machine.state
		s.listHub.publishList(state)
		s.leaseHub.publish(state.LeasesVersion(), state.LeasesVersion(), state.Epoch())
		s.recordHub.publish(state.RecordsVersion(), state.RecordsVersion(), state.Epoch())
	}
	var err error
	if s.replica, err = openReplica(s.config, s.machine, s.log); err != nil {
		return err
	}
	s.metrics = newMetrics(s)
	return nil
}

// followLeader starts and stops the leader's tasks when this replica gains and loses leadership.
func (s *Server) followLeader() {
	for {
		select {
		case leads := <-s.replica.raft.LeaderCh():
			if !leads {
				s.expiry.stopLeading()
				s.sessions.stopLeading()
				s.log.Info("not the leader", "leader", s.replica.leader())
				continue
			}
			if err := s.beginLeading(); err != nil {
				s.log.Warn("leadership lost before the leader's tasks were started", "err", err)
			}
		case <-s.ctx.Done():
			return
		}
	}
}

// beginLeading waits until all earlier commands are applied, begins the list if it has no epoch, and starts
// the deadlines of entries and sessions.
func (s *Server) beginLeading() error {
	if err := s.replica.waitUntilApplied(); err != nil {
		return err
	}
	if _, epoch := s.listHub.current(); epoch == "" {
		if _, err := s.replica.apply(registry.Command{Op: registry.OpBegin, Epoch: newEpoch()}); err != nil {
			return err
		}
	}
	s.expiry.startLeading()
	s.sessions.startLeading()
	s.log.Info("leadership acquired")
	return nil
}

// newEpoch draws a random epoch for a list that begins or is restored.
func newEpoch() string {
	b := make([]byte, 8)
	rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// shutdown transfers leadership, stops raft, closes the folder and lets open calls finish.
func (s *Server) shutdown() error {
	s.log.Info("shutting down")
	err := s.replica.stop()
	s.stop() // waiting watches get a response with the present state
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if shutdownErr := s.http.Shutdown(ctx); shutdownErr != nil {
		besteffort.Close(s.http)
	}
	s.tasks.Wait()
	return err
}
