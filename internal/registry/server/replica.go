package server

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

const (
	applyTime     = 5 * time.Second // a write that is not in the log by then has an unknown end
	keepSnapshots = 2
	raftPool      = 3
	raftTime      = 5 * time.Second  // for a call to another replica; one that hangs holds up what is sent there
	stopTime      = 10 * time.Second // only a call that hangs takes so long
)

// replica is raft with its folder.
type replica struct {
	raft            *raft.Raft
	store           *raftboltdb.BoltStore
	transport       raft.Transport
	closers         []io.Closer
	ending          chan struct{} // closed when it ends
	lastIndexAtOpen uint64        // the last entry of the log as it was opened
}

// openReplica opens the folder and takes part in the cluster.
func openReplica(c Config, m *machine, log *slog.Logger) (r *replica, err error) {
	opened := &replica{ending: make(chan struct{})}
	r = opened
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	store, lock, err := openStore(c.Folder)
	if err != nil {
		return nil, err
	}
	r.store = store
	if r.lastIndexAtOpen, err = store.LastIndex(); err != nil {
		besteffort.Close(store)
		besteffort.Close(lock)
		return nil, fmt.Errorf("the log in %s: %w", c.Folder, err)
	}
	r.closers = append(r.closers, store, lock)
	logger := hclog.New(
		&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: raftLogWriter{log}, DisableTime: true},
	)
	snaps, err := raft.NewFileSnapshotStoreWithLogger(c.Folder, keepSnapshots, logger)
	if err != nil {
		return nil, fmt.Errorf("snapshots in %s: %w", c.Folder, err)
	}
	if err := r.listen(c, m, logger); err != nil {
		return nil, err
	}
	conf := raft.DefaultConfig()
	conf.LocalID, conf.Logger = raft.ServerID(c.Name), logger
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = c.Election, c.Election, c.Election/2
	conf.CommitTimeout = c.Election / 20
	conf.SnapshotThreshold, conf.TrailingLogs = c.Snapshot, c.Snapshot/2
	if r.raft, err = raft.NewRaft(
		conf,
		m,
		r.store,
		retryingStableStore{r.store, log, r.ending},
		snaps,
		r.transport,
	); err != nil {
		return nil, fmt.Errorf("starting raft on %s: %w", c.Folder, err)
	}
	return r, r.bootstrap(c)
}

// listen opens the address for the other replicas; one that is alone has none.
func (r *replica) listen(c Config, m *machine, logger hclog.Logger) error {
	if c.Raft == "" {
		_, r.transport = raft.NewInmemTransport(raft.ServerAddress(c.Name))
		return nil
	}
	own, err := net.ResolveTCPAddr("tcp", c.Raft)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	// One call at a time to each: with more, raft sends in a pipeline, which hangs for good when
	// the other end breaks off while it is full (docs/findings/raft-pipeline.md).
	t, err := raft.NewTCPTransportWithConfig(
		c.Raft,
		own,
		&raft.NetworkTransportConfig{MaxPool: raftPool, MaxRPCsInFlight: 1, Timeout: raftTime,
			Logger: logger, ServerAddressProvider: addresses{c, m}},
	)
	if err != nil {
		return fmt.Errorf("raft: listening at %s: %w", c.Raft, err)
	}
	r.transport = t
	r.closers = append(r.closers, t)
	return nil
}

// addresses finds the others where they were added while the cluster served, and
// else where this replica's own configuration has them.
type addresses struct {
	config  Config
	machine *machine
}

func (a addresses) find(name string) (registry.Address, bool) {
	if at, ok := a.machine.member(name); ok {
		return at, true
	}
	o, ok := a.config.find(name)
	return registry.Address{Raft: o.Raft, HTTP: o.HTTP}, ok
}

func (a addresses) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	other, ok := a.find(string(id))
	if !ok {
		return "", fmt.Errorf("it is not known where replica %s is", id)
	}
	return raft.ServerAddress(other.Raft), nil
}

// bootstrap makes a cluster out of empty folders: alone at once, of several by the one that is configured to.
func (r *replica) bootstrap(c Config) error {
	var servers []raft.Server
	for _, o := range c.Replicas {
		servers = append(servers, raft.Server{ID: raft.ServerID(o.Name), Address: raft.ServerAddress(o.Name)})
	}
	if len(c.Replicas) <= 1 {
		servers = []raft.Server{{ID: raft.ServerID(c.Name), Address: raft.ServerAddress(c.Name)}}
	} else if !c.Begin {
		return nil
	}
	err := r.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	if err != nil && !errors.Is(err, raft.ErrCantBootstrap) { // it has begun before
		return fmt.Errorf("beginning the cluster: %w", err)
	}
	return nil
}

func (r *replica) leads() bool { return r.raft.State() == raft.Leader }

// leader is the name of the one that leads as far as this one knows, or empty.
func (r *replica) leader() string {
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// errUnknown marks a write that may still be carried out.
var errUnknown = errors.New("it is not known whether it was done")

// errNotLeading marks one that certainly was not.
var errNotLeading = errors.New("this replica does not lead")

func (r *replica) apply(c registry.Command) (registry.Result, error) {
	raw, err := encode(c)
	if err != nil {
		return registry.Result{}, err
	}
	f := r.raft.Apply(raw, applyTime)
	if err := classifyRaftError(f.Error()); err != nil {
		return registry.Result{}, err
	}
	switch r := f.Response().(type) {
	case registry.Result:
		return r, nil
	case error:
		return registry.Result{}, fmt.Errorf("%w: %w", errUnknown, r)
	}
	return registry.Result{}, errUnknown
}

// classifyRaftError tells a write that was certainly not done from one of unknown end.
func classifyRaftError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, raft.ErrNotLeader),
		errors.Is(err, raft.ErrLeadershipTransferInProgress),
		errors.Is(err, raft.ErrEnqueueTimeout),
		errors.Is(err, raft.ErrRaftShutdown):
		return fmt.Errorf("%w: %w", errNotLeading, err)
	default:
		return fmt.Errorf("%w: %w", errUnknown, err)
	}
}

// servers are the replicas as raft has them.
func (r *replica) servers() ([]raft.Server, error) {
	f := r.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, err
	}
	return f.Configuration().Servers, nil
}

// current waits until this replica, as the leader, has all that was done before the call.
func (r *replica) current() error {
	if err := r.raft.Barrier(applyTime).Error(); err != nil {
		return fmt.Errorf("%w: %w", errNotLeading, err)
	}
	return nil
}

// stop transfers leadership, if there is another replica, and ends.
func (r *replica) stop() error {
	if servers, err := r.servers(); err == nil && len(servers) > 1 && r.leads() {
		_ = r.raft.LeadershipTransfer().Error() // without a successor the others elect a leader after a timeout
	}
	close(r.ending)
	ended := make(chan error, 1)
	go func() { ended <- r.raft.Shutdown().Error() }()
	var err error
	select {
	case err = <-ended:
	case <-time.After(stopTime):
		err = fmt.Errorf("raft does not end within %v", stopTime)
	}
	r.close()
	return err
}

func (r *replica) close() {
	for _, c := range r.closers {
		besteffort.Close(c)
	}
	r.closers = nil
}

// raftLogWriter puts raft's own lines into the log.
type raftLogWriter struct{ log *slog.Logger }

func (l raftLogWriter) Write(b []byte) (int, error) {
	l.log.Warn("raft", "line", strings.TrimSpace(string(b)))
	return len(b), nil
}
