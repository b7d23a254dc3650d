package agent

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// maintainEntry keeps a server's registration in line with its status until ctx ends. endpointOf describes
// how a server is registered in each status. The registration has a TTL and expires if the agent fails.
func (a *agent) maintainEntry(ctx context.Context, k *supervisor) {
	var registered registry.Endpoint // the entry as registered; its name is empty if there is none
	var writtenAt time.Time
	for ctx.Err() == nil {
		status, changed := k.current()
		want := a.endpointOf(k, status)
		var err error
		switch {
		case want != registered && want.Name != "":
			if err = a.writeWithTimeout(ctx, func(ctx context.Context) error {
				_, err := a.registry.Register(ctx, want, a.config.TTL, nil)
				return err
			}); err == nil {
				registered, writtenAt = want, time.Now()
			}
		case want != registered:
			if err = a.writeWithTimeout(ctx, func(ctx context.Context) error {
				_, err := a.registry.Remove(ctx, k.server.Name, nil)
				return ignoreNotFound(err)
			}); err == nil {
				registered = want
			}
		case registered.Name != "" && time.Since(writtenAt) >= a.config.TTL/renewalsPerTTL:
			err = a.writeWithTimeout(ctx, func(ctx context.Context) error {
				unknown, err := a.registry.Renew(ctx, []string{k.server.Name})
				if len(unknown) > 0 {
					registered = registry.Endpoint{} // registered again in the next round
				}
				return err
			})
			writtenAt = time.Now()
		}
		if err != nil && ctx.Err() == nil {
			a.log.Warn("registry write failed", "server", k.server.Name, "err", err)
		}
		t := time.NewTimer(a.config.TTL / (2 * renewalsPerTTL))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// endpointOf returns the entry with which a server is to be registered: as draining while it runs and
// KeepDraining is set, and otherwise as ready while it is ready. The entry's name is empty if the server is
// not to be registered.
func (a *agent) endpointOf(k *supervisor, s Status) registry.Endpoint {
	switch {
	case s.Running && s.KeepDraining:
		return k.server.entry(registry.Draining, s.Version, s.StartedAtMS)
	case s.Ready:
		return k.server.entry(registry.Ready, s.Version, s.StartedAtMS)
	}
	return registry.Endpoint{}
}

// writeWithTimeout calls write with a context that ends after writeTimeout.
func (a *agent) writeWithTimeout(ctx context.Context, write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return write(ctx)
}

// ignoreNotFound returns nil if err says that the entry to be removed does not exist, and err otherwise.
func ignoreNotFound(err error) error {
	var rejection *client.Error
	if errors.As(err, &rejection) && rejection.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// publishRecord writes this agent's record to the registry, where release controllers look for agents. It
// retries until the write succeeds or ctx ends.
func (a *agent) publishRecord(ctx context.Context) {
	record := Record{Machine: a.config.Machine, Address: a.address}
	for _, s := range a.config.Servers {
		record.Servers = append(record.Servers, s.Name)
	}
	raw, err := json.Marshal(record)
	for err == nil && ctx.Err() == nil {
		if e := a.writeWithTimeout(ctx, func(ctx context.Context) error {
			_, err := a.registry.Put(ctx, RecordPrefix+a.config.Machine, raw, nil)
			return err
		}); e == nil {
			return
		} else if ctx.Err() == nil {
			a.log.Warn("publishing the agent's record failed", "err", e)
		}
	}
}
