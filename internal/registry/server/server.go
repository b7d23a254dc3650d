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

// Server is one replica.
type Server struct {
	config        Config
	log           *slog.Logger
	machine       *machine
	hub           *hub
	replica       *replica
	leaseHub      *hub
	recordHub     *hub // for watches of records
	expiry        *expiry
	sessions      *sessions
	rates         *rates
	contact       *contact
	figures       *metrics
	http          *http.Server
	stop          context.CancelFunc
	ctx           context.Context // of everything that a call may wait for
	broken        chan error      // why this replica has to end
	completeReads chan struct{}   // one for each complete subset that is made and sent
	tasks         sync.WaitGroup
}

const (
	headTime = 5 * time.Second
	readTime = 30 * time.Second // for a whole call, its body included
	idleTime = 2 * time.Minute
	maxHead  = 16 << 10
	endTime  = 5 * time.Second // for calls that are open at the end

	replayLook = 20 * time.Millisecond
)

// Run serves until ctx ends, and then transfers what it holds. The error says
// what kept it from serving, or from ending in order.
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
		contact: newContact(),
		broken:  make(chan error, 1),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	defer s.stop()
	if err := s.open(); err != nil {
		besteffort.Close(ln)
		return err
	}
	s.tasks.Go(func() { s.hub.run(s.ctx.Done()) })
	s.tasks.Go(func() { s.leaseHub.run(s.ctx.Done()) })
	s.tasks.Go(func() { s.recordHub.run(s.ctx.Done()) })
	s.tasks.Go(func() { s.expiry.run(s.ctx) })
	s.tasks.Go(func() { s.sessions.run(s.ctx) })
	s.tasks.Go(s.followLeader)
	s.tasks.Go(func() { s.contact.run(s.ctx, c.Election, s.replica.leader) })
	s.tasks.Go(func() { s.contact.replay(s.ctx, replayLook, s.replica, s.machine) })
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headTime,
		ReadTimeout:       readTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHead,
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
	return errors.Join(err, s.end())
}

func (s *Server) open() error {
	s.completeReads = make(chan struct{}, maxCompleteReads)
	s.machine = &machine{state: registry.NewState(), broken: func(err error) { s.broken <- err }}
	s.hub, s.leaseHub, s.recordHub = newHub(s.machine), newHub(s.machine), newHub(s.machine)
	apply := func(c registry.Command) (registry.Result, error) { return s.replica.apply(c) }
	s.expiry = &expiry{start: time.Now(), machine: s.machine, log: s.log, apply: apply}
	s.sessions = &sessions{start: time.Now(), machine: s.machine, log: s.log, apply: apply}
	s.machine.applied = func(c registry.Command, _ registry.Result) {
		s.expiry.applied(c, s.machine.state)
		s.sessions.applied(c)
		state := s.machine.state
		s.hub.publishList(state)
		s.leaseHub.publish(state.LeasesVersion(), state.LeasesVersion(), state.Epoch())
		s.recordHub.publish(state.RecordsVersion(), state.RecordsVersion(), state.Epoch())
	}
	var err error
	if s.replica, err = openReplica(s.config, s.machine, s.log); err != nil {
		return err
	}
	s.figures = newMetrics(s)
	return nil
}

// followLeader does what a leader has to do at its beginning and its end.
func (s *Server) followLeader() {
	for {
		select {
		case leads := <-s.replica.raft.LeaderCh():
			if !leads {
				s.expiry.follow()
				s.sessions.follow()
				s.log.Info("not the leader", "leader", s.replica.leader())
				continue
			}
			if err := s.beginLeading(); err != nil {
				s.log.Warn("leadership lost before it began", "err", err)
			}
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Server) beginLeading() error {
	if err := s.replica.current(); err != nil {
		return err
	}
	if _, epoch := s.hub.current(); epoch == "" {
		if _, err := s.replica.apply(registry.Command{Op: registry.OpBegin, Epoch: newEpoch()}); err != nil {
			return err
		}
	}
	s.expiry.lead()
	s.sessions.lead()
	s.log.Info("leader")
	return nil
}

// newEpoch names a list that begins or is restored.
func newEpoch() string {
	b := make([]byte, 8)
	rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// end hands leadership on, lets open calls finish and closes the folder.
func (s *Server) end() error {
	s.log.Info("ending")
	err := s.replica.stop()
	s.stop() // watchers are answered with what there is
	ctx, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	if e := s.http.Shutdown(ctx); e != nil {
		besteffort.Close(s.http)
	}
	s.tasks.Wait()
	return err
}
