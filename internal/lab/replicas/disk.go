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

// fill lets a replica write to no file for a while, which is more than a full disk does.
func (r *Replica) fill(ctx context.Context, last time.Duration) error {
	ready, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	if err := r.Proc().WaitReady(ready, "http://"+r.http+"/readyz"); err != nil {
		if ctx.Err() != nil {
			return nil // the run is over
		}
		return err // one that finds its disk full while it starts ends with an error of its own
	}
	pid := r.Proc().Pid
	var was unix.Rlimit
	if err := unix.Prlimit(
		pid,
		unix.RLIMIT_FSIZE,
		&unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY},
		&was,
	); err != nil {
		return fmt.Errorf("filling the disk of %s: %w", r.Name, err)
	}
	backoff.Sleep(ctx, last)
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &was, nil); err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("emptying the disk of %s: %w", r.Name, err)
	}
	return nil
}

// folder is where a replica keeps its log.
func (r *Replica) folder() string { return filepath.Join(r.dir, "data") }

// spoil cuts the log of a replica that is down, or writes over a part of it.
func (s *Set) spoil(r *Replica) error {
	path := filepath.Join(r.folder(), "log.db")
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("spoiling the log of %s: %w", r.Name, err)
	}
	chance := rand.New(rand.NewPCG(s.o.Seed, uint64(len(raw))))
	at := chance.IntN(len(raw))
	if chance.IntN(2) == 0 {
		raw = raw[:at]
	} else {
		for i := at; i < min(len(raw), at+4096); i++ {
			raw[i] = byte(chance.Uint32())
		}
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return fmt.Errorf("spoiling the log of %s: %w", r.Name, err)
	}
	return nil
}

// replace spoils a replica's log and starts it. If it finds that out, it is
// removed from the cluster and added again on an empty folder; if the damage has
// hit nothing that counts, it serves on.
func (s *Set) replace(ctx context.Context, r *Replica) error {
	if err := s.spoil(r); err != nil {
		return err
	}
	if err := s.start(r, true); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readyTime) // begun, it is brought to its end
	defer cancel()
	p := r.Proc()
	if err := p.WaitReady(ctx, "http://"+r.http+"/readyz"); err == nil {
		return nil
	} else if p.Running() {
		return err
	}
	if err := os.RemoveAll(r.folder()); err != nil {
		return fmt.Errorf("emptying the folder of %s: %w", r.Name, err)
	}
	return s.rejoin(ctx, r)
}

// rejoin has a replica on an empty folder removed and added again, as docs/list.md has it.
func (s *Set) rejoin(ctx context.Context, r *Replica) error {
	var others []string
	for _, o := range s.All {
		if o != r {
			others = append(others, o.http)
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
		return fmt.Errorf("removing %s: %w", r.Name, err)
	}
	if err := s.Start(r); err != nil {
		return err
	}
	if _, err := k.AddReplica(ctx, r.Name, registry.Address{}); err != nil {
		return fmt.Errorf("adding %s: %w", r.Name, err)
	}
	return nil
}
