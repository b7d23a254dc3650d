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
	applyTimeout      = 5 * time.Second // the outcome of a write that is not logged in this time is unknown
	retainedSnapshots = 2
	maxRaftConns      = 3                // pooled connections to each other replica
	raftTimeout       = 5 * time.Second  // for a call to another replica; a hanging call delays later calls
	stopTimeout       = 10 * time.Second // for raft to stop; exceeded only if a call hangs
)

// replica runs raft on a folder.
type replica struct {
	raft            *raft.Raft
	store           *raftboltdb.BoltStore
	transport       raft.Transport
	closers         []io.Closer
	stopping        chan struct{} // closed when the replica stops
	lastIndexAtOpen uint64        // index of the log's last entry when the log was opened
}

// openReplica opens the folder and starts raft.
func openReplica(c Config, m *machine, log *slog.Logger) (r *replica, err error) {
	opened := &replica{stopping: make(chan struct{})}
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
		return nil, fmt.Errorf("read the last index of the log in %s: %w", c.Folder, err)
	}
	r.closers = append(r.closers, store, lock)
	logger := hclog.New(
		&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: raftLogWriter{log}, DisableTime: true},
	)
	snaps, err := raft.NewFileSnapshotStoreWithLogger(c.Folder, retainedSnapshots, logger)
	if err != nil {
		return nil, fmt.Errorf("open snapshots in %s: %w", c.Folder, err)
	}
	if err := r.listen(c, m, logger); err != nil {
		return nil, err
	}
	conf := raft.DefaultConfig()
	conf.LocalID, conf.Logger = raft.ServerID(c.Name), logger
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = c.ElectionTimeout,
		c.ElectionTimeout, c.ElectionTimeout/2
	conf.CommitTimeout = c.ElectionTimeout / 20
	conf.SnapshotThreshold, conf.TrailingLogs = c.SnapshotThreshold, c.SnapshotThreshold/2
	if r.raft, err = raft.NewRaft(
		conf,
		m,
		r.store,
		retryingStableStore{r.store, log, r.stopping},
		snaps,
		r.transport,
	); err != nil {
		return nil, fmt.Errorf("start raft on %s: %w", c.Folder, err)
	}
	return r, r.bootstrap(c)
}

// listen opens the transport to the other replicas. A replica without a raft address gets an in-memory
// transport.
func (r *replica) listen(c Config, m *machine, logger hclog.Logger) error {
	if c.Raft == "" {
		_, r.transport = raft.NewInmemTransport(raft.ServerAddress(c.Name))
		return nil
	}
	own, err := net.ResolveTCPAddr("tcp", c.Raft)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	// MaxRPCsInFlight is 1 because with more raft uses a pipeline, which hangs for good if the peer closes the
	// connection while the pipeline is full (docs/incidents/raft-pipeline.md).
	t, err := raft.NewTCPTransportWithConfig(
		c.Raft,
		own,
		&raft.NetworkTransportConfig{MaxPool: maxRaftConns, MaxRPCsInFlight: 1, Timeout: raftTimeout,
			Logger: logger, ServerAddressProvider: addresses{c, m}},
	)
	if err != nil {
		return fmt.Errorf("raft: listen on %s: %w", c.Raft, err)
	}
	r.transport = t
	r.closers = append(r.closers, t)
	return nil
}

// addresses finds the addresses of the other replicas. The addresses of replicas that were added to the
// running cluster are in the replicated state, all other addresses are in this replica's configuration. It is
// a raft.ServerAddressProvider.
type addresses struct {
	config  Config
	machine *machine
}

// find returns the address of a replica, and false if it is not known.
func (a addresses) find(name string) (registry.Address, bool) {
	if address, ok := a.machine.replicaAddress(name); ok {
		return address, true
	}
	configured, ok := a.config.find(name)
	return registry.Address{Raft: configured.Raft, HTTP: configured.HTTP}, ok
}

// ServerAddr implements raft.ServerAddressProvider.
func (a addresses) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	other, ok := a.find(string(id))
	if !ok {
		return "", fmt.Errorf("address of replica %q is not known", id)
	}
	return raft.ServerAddress(other.Raft), nil
}

// bootstrap starts a cluster on empty folders. A single replica always starts its cluster; of several
// replicas, the replica that is configured to start the cluster does.
func (r *replica) bootstrap(c Config) error {
	var servers []raft.Server
	for _, member := range c.Replicas {
		servers = append(servers,
			raft.Server{ID: raft.ServerID(member.Name), Address: raft.ServerAddress(member.Name)})
	}
	if len(c.Replicas) <= 1 {
		servers = []raft.Server{{ID: raft.ServerID(c.Name), Address: raft.ServerAddress(c.Name)}}
	} else if !c.Bootstrap {
		return nil
	}
	err := r.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	if err != nil && !errors.Is(err, raft.ErrCantBootstrap) { // the cluster has been started before
		return fmt.Errorf("bootstrap the cluster: %w", err)
	}
	return nil
}

func (r *replica) leads() bool { return r.raft.State() == raft.Leader }

// leader returns the name of the leader as far as this replica knows, or an empty string.
func (r *replica) leader() string {
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// errUnknown marks a write that may have been applied or may still be applied.
var errUnknown = errors.New("it is not known whether it was done")

// errNotLeading marks a write that certainly was not and will not be applied.
var errNotLeading = errors.New("this replica does not lead")

// apply logs a command and returns its result. An error of raft wraps errNotLeading or errUnknown.
func (r *replica) apply(c registry.Command) (registry.Result, error) {
	raw, err := encode(c)
	if err != nil {
		return registry.Result{}, err
	}
	future := r.raft.Apply(raw, applyTimeout)
	if err := classifyRaftError(future.Error()); err != nil {
		return registry.Result{}, err
	}
	switch response := future.Response().(type) {
	case registry.Result:
		return response, nil
	case error:
		return registry.Result{}, fmt.Errorf("%w: %w", errUnknown, response)
	}
	return registry.Result{}, errUnknown
}

// classifyRaftError wraps an error of a write to raft, be it a command or a change of the configuration.
// After ErrNotLeader, ErrLeadershipTransferInProgress, ErrEnqueueTimeout and ErrRaftShutdown the write counts
// as certainly not applied: they are wrapped with errNotLeading, and all other errors with errUnknown. nil
// stays nil.
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

// servers returns the replicas in raft's configuration.
func (r *replica) servers() ([]raft.Server, error) {
	future := r.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	return future.Configuration().Servers, nil
}

// waitUntilApplied waits until this replica, as the leader, has applied all earlier commands.
func (r *replica) waitUntilApplied() error {
	if err := r.raft.Barrier(applyTimeout).Error(); err != nil {
		return fmt.Errorf("%w: %w", errNotLeading, err)
	}
	return nil
}

// stop transfers leadership if there is another replica, and stops raft.
func (r *replica) stop() error {
	if servers, err := r.servers(); err == nil && len(servers) > 1 && r.leads() {
		_ = r.raft.LeadershipTransfer().Error() // without a successor the others elect a leader after a timeout
	}
	close(r.stopping)
	ended := make(chan error, 1)
	go func() { ended <- r.raft.Shutdown().Error() }()
	var err error
	select {
	case err = <-ended:
	case <-time.After(stopTimeout):
		err = fmt.Errorf("raft did not stop within %v", stopTimeout)
	}
	r.close()
	return err
}

// close closes the transport, the store and the folder's lock.
func (r *replica) close() {
	for _, c := range r.closers {
		besteffort.Close(c)
	}
	r.closers = nil
}

// raftLogWriter writes raft's own log lines to the log.
type raftLogWriter struct{ log *slog.Logger }

func (l raftLogWriter) Write(b []byte) (int, error) {
	l.log.Warn("raft", "line", strings.TrimSpace(string(b)))
	return len(b), nil
}
