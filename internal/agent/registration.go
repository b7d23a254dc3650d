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

// maintainEntry keeps a server's entry as the server is: ready, draining while it is to be drained, and gone
// while it does not answer. The list drops it if this agent is lost.
func (a *agent) maintainEntry(ctx context.Context, k *supervisor) {
	var has registry.Endpoint // as it was registered; without a name: it is not
	var writtenAt time.Time
	for ctx.Err() == nil {
		status, changed := k.current()
		want := a.endpointOf(k, status)
		var err error
		switch {
		case want != has && want.Name != "":
			if err = a.writeWithTimeout(ctx, func(ctx context.Context) error {
				_, err := a.registry.Register(ctx, want, a.config.TTL, nil)
				return err
			}); err == nil {
				has, writtenAt = want, time.Now()
			}
		case want != has:
			if err = a.writeWithTimeout(ctx, func(ctx context.Context) error {
				_, err := a.registry.Remove(ctx, k.server.Name, nil)
				return ignoreNotFound(err)
			}); err == nil {
				has = want
			}
		case has.Name != "" && time.Since(writtenAt) >= a.config.TTL/renewalsPerTTL:
			err = a.writeWithTimeout(ctx, func(ctx context.Context) error {
				unknown, err := a.registry.Renew(ctx, []string{k.server.Name})
				if len(unknown) > 0 {
					has = registry.Endpoint{} // it is registered anew
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

// endpointOf is the entry that a server is to have; none while it does not answer.
func (a *agent) endpointOf(k *supervisor, s Status) registry.Endpoint {
	switch {
	case s.Running && s.KeepDraining:
		return k.server.entry(registry.Draining, s.Version, s.StartedAtMS)
	case s.Ready:
		return k.server.entry(registry.Ready, s.Version, s.StartedAtMS)
	}
	return registry.Endpoint{}
}

func (a *agent) writeWithTimeout(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return do(ctx)
}

// ignoreNotFound takes an entry that is not there for one that was removed.
func ignoreNotFound(err error) error {
	var refused *client.Error
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// publishRecord keeps this agent's record in the registry, where releases look for it.
func (a *agent) publishRecord(ctx context.Context) {
	card := Record{Machine: a.config.Machine, Address: a.address}
	for _, s := range a.config.Servers {
		card.Servers = append(card.Servers, s.Name)
	}
	raw, err := json.Marshal(card)
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
