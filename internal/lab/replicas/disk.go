package replicas

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// fillDisk makes all file writes of a replica fail for the duration, by a limit on the file size of its
// process. This is stricter than a full disk.
func (r *Replica) fillDisk(ctx context.Context, duration time.Duration) error {
	// If the disk were full during the replica's start, the replica would exit with an error.
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.Proc().WaitReady(ready, "http://"+r.httpAddress+"/readyz"); err != nil {
		if ctx.Err() != nil {
			return nil // the run has ended
		}
		return err
	}
	pid := r.Proc().Pid
	var previous unix.Rlimit
	if err := unix.Prlimit(
		pid,
		unix.RLIMIT_FSIZE,
		&unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY},
		&previous,
	); err != nil {
		return fmt.Errorf("set the file size limit of %s: %w", r.Name, err)
	}
	backoff.Sleep(ctx, duration)
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &previous, nil); err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("restore the file size limit of %s: %w", r.Name, err)
	}
	return nil
}

// dataDir returns the path of the folder with the replica's log.
func (r *Replica) dataDir() string { return filepath.Join(r.dir, "data") }

// damageLog truncates the log of a replica that is not running, or overwrites up to 4096 bytes of it.
func (s *Set) damageLog(r *Replica) error {
	path := filepath.Join(r.dataDir(), "log.db")
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read the log of %s to damage it: %w", r.Name, err)
	}
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(len(raw))))
	offset := random.IntN(len(raw))
	if random.IntN(2) == 0 {
		raw = raw[:offset]
	} else {
		for i := offset; i < min(len(raw), offset+4096); i++ {
			raw[i] = byte(random.Uint32())
		}
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return fmt.Errorf("write the damaged log of %s: %w", r.Name, err)
	}
	return nil
}

// damageAndReplace damages a replica's log and starts the replica. If the replica detects the damage and
// exits, it is removed from the cluster and added again with an empty folder. A replica that becomes ready
// stays, as the damage affected no data that is in use.
func (s *Set) damageAndReplace(ctx context.Context, r *Replica) error {
	if err := s.damageLog(r); err != nil {
		return err
	}
	if err := s.start(r, true); err != nil {
		return err
	}
	// A replacement that has begun is completed, even if ctx ends.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readyTimeout)
	defer cancel()
	p := r.Proc()
	if err := p.WaitReady(ctx, "http://"+r.httpAddress+"/readyz"); err == nil {
		return nil
	} else if p.Running() {
		return err
	}
	if err := os.RemoveAll(r.dataDir()); err != nil {
		return fmt.Errorf("remove the data of %s: %w", r.Name, err)
	}
	return s.rejoin(ctx, r)
}

// rejoin removes a replica from the cluster, starts it with an empty folder and adds it to the cluster, as
// docs/list.md describes.
func (s *Set) rejoin(ctx context.Context, r *Replica) error {
	var others []string
	for _, other := range s.All {
		if other != r {
			others = append(others, other.httpAddress)
		}
	}
	k, err := client.New(client.Config{Addresses: others})
	if err != nil {
		return err
	}
	defer k.Close()
	var refused *client.Error
	if err := k.RemoveReplica(
		ctx,
		r.Name,
	); err != nil &&
		(!errors.As(err, &refused) || refused.Code != string(registry.NotFound)) {
		return fmt.Errorf("remove replica %s from the cluster: %w", r.Name, err)
	}
	if err := s.Start(r); err != nil {
		return err
	}
	if _, err := k.AddReplica(ctx, r.Name, registry.Address{}); err != nil {
		return fmt.Errorf("add replica %s to the cluster: %w", r.Name, err)
	}
	return nil
}
