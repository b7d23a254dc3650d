package server

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"indigotack/internal/list"
)

const (
	applyTime     = 5 * time.Second // a write that is not in the log by then has an unknown end
	openTime      = 5 * time.Second // for the folder's lock, which a process that is ending may hold
	keepSnapshots = 2
	snapshotAfter = 8192 // log entries
	trailing      = 4096 // log entries kept behind a snapshot, for replicas that lag a little
	raftPool      = 3
	raftTime      = 5 * time.Second  // for a call to another replica; one that hangs holds up what is sent there
	stopTime      = 10 * time.Second // only a call that hangs takes so long
)

// replica is raft with its folder.
type replica struct {
	raft    *raft.Raft
	store   *raftboltdb.BoltStore
	trans   raft.Transport
	closers []io.Closer
}

// openReplica opens the folder and takes part in the cluster.
func openReplica(c Config, m *machine, log *slog.Logger) (r *replica, err error) {
	r = &replica{}
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	path := filepath.Join(c.Folder, "log.db")
	r.store, err = raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: openTime}})
	if err != nil {
		return nil, fmt.Errorf("%s: %w; another process may hold it, or it is damaged: a replica of several can be started on an empty folder, and gets all from the others", path, err)
	}
	r.closers = append(r.closers, r.store)
	logger := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: lines{log}, DisableTime: true})
	snaps, err := raft.NewFileSnapshotStoreWithLogger(c.Folder, keepSnapshots, logger)
	if err != nil {
		return nil, fmt.Errorf("snapshots in %s: %w", c.Folder, err)
	}
	if err := r.listen(c, logger); err != nil {
		return nil, err
	}
	conf := raft.DefaultConfig()
	conf.LocalID, conf.Logger = raft.ServerID(c.Name), logger
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = c.Election, c.Election, c.Election/2
	conf.CommitTimeout = c.Election / 20
	conf.SnapshotThreshold, conf.TrailingLogs = snapshotAfter, trailing
	if r.raft, err = raft.NewRaft(conf, m, r.store, r.store, snaps, r.trans); err != nil {
		return nil, fmt.Errorf("starting raft on %s: %w", c.Folder, err)
	}
	return r, r.begin(c)
}

// listen opens the address for the other replicas; one that is alone has none.
func (r *replica) listen(c Config, logger hclog.Logger) error {
	if len(c.Replicas) <= 1 {
		_, r.trans = raft.NewInmemTransport(raft.ServerAddress(c.Name))
		return nil
	}
	own, err := net.ResolveTCPAddr("tcp", c.Raft)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	// One call at a time to each: with more, raft sends in a pipeline, which hangs for good when
	// the other end breaks off while it is full (docs/findings/raft-pipeline.md).
	t, err := raft.NewTCPTransportWithConfig(c.Raft, own, &raft.NetworkTransportConfig{MaxPool: raftPool, MaxRPCsInFlight: 1, Timeout: raftTime,
		Logger: logger, ServerAddressProvider: addresses{c}})
	if err != nil {
		return fmt.Errorf("raft: listening at %s: %w", c.Raft, err)
	}
	r.trans = t
	r.closers = append(r.closers, t)
	return nil
}

// addresses finds the others where this replica's own configuration has them.
type addresses struct{ c Config }

func (a addresses) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	other, ok := a.c.find(string(id))
	if !ok {
		return "", fmt.Errorf("replica %s is not in the configuration", id)
	}
	return raft.ServerAddress(other.Raft), nil
}

// begin makes a cluster out of empty folders: alone at once, of several by the one that is told to.
func (r *replica) begin(c Config) error {
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

func (r *replica) apply(c list.Command) (list.Result, error) {
	raw, err := c.Encode()
	if err != nil {
		return list.Result{}, err
	}
	f := r.raft.Apply(raw, applyTime)
	switch err := f.Error(); {
	case err == nil:
		return f.Response().(list.Result), nil
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout),
		errors.Is(err, raft.ErrRaftShutdown):
		return list.Result{}, fmt.Errorf("%w: %w", errNotLeading, err)
	default:
		return list.Result{}, fmt.Errorf("%w: %w", errUnknown, err)
	}
}

// current waits until this replica, as the leader, has all that was done before the call.
func (r *replica) current() error {
	if err := r.raft.Barrier(applyTime).Error(); err != nil {
		return fmt.Errorf("%w: %w", errNotLeading, err)
	}
	return nil
}

// stop hands leadership on, if there is whom to, and ends.
func (r *replica) stop(others bool) error {
	if others && r.leads() {
		r.raft.LeadershipTransfer().Error() // without a successor the others elect one in their time
	}
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
		c.Close()
	}
	r.closers = nil
}

// lines puts raft's own lines into the log.
type lines struct{ log *slog.Logger }

func (l lines) Write(b []byte) (int, error) {
	l.log.Warn("raft", "line", strings.TrimSpace(string(b)))
	return len(b), nil
}
