package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/raft"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// listReplicas responds with the replicas of the cluster.
func (s *Server) listReplicas(w http.ResponseWriter, _ *http.Request) {
	servers, err := s.replica.servers()
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "members", err.Error(), time.Second)
		return
	}
	replicas := []registry.Replica{}
	for _, m := range servers {
		replicas = append(replicas, s.describe(m))
	}
	writeJSON(w, http.StatusOK, replicas)
}

// describe returns the API's form of a replica.
func (s *Server) describe(m raft.Server) registry.Replica {
	name := string(m.ID)
	described := registry.Replica{
		Name:   name,
		Leader: name == s.replica.leader(),
		Voter:  m.Suffrage == raft.Voter,
		Self:   name == s.config.Name,
	}
	if a, ok := s.machine.replicaAddress(name); ok {
		described.Address = &a
	}
	return described
}

// addReplica adds a replica that has been started on an empty folder. The replica is a non-voter at first; a
// call that finds it up to date makes it a voter, so that a replica that never starts does not count in any
// majority. The caller repeats the call until the response says that the replica votes. If the address is
// empty, it is taken from this replica's configuration, for example for a replica whose folder was lost.
func (s *Server) addReplica(w http.ResponseWriter, r *http.Request) {
	var address registry.Address
	if !readJSON(w, r, &address) {
		return
	}
	c := registry.Command{Op: registry.OpAddReplica, Name: r.PathValue("name"), Address: &address}
	known, ok := addresses{s.config, s.machine}.find(c.Name)
	if address == (registry.Address{}) && ok {
		address = known
	}
	if err := c.Check(); err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	servers, err := s.replica.servers()
	if err != nil {
		s.writeResult(w, registry.Result{}, fmt.Errorf("%w: %w", errNotLeading, err))
		return
	}
	isNamed := func(m raft.Server) bool { return string(m.ID) == c.Name }
	i := slices.IndexFunc(servers, isNamed)
	if i < 0 && len(servers) >= registry.MaxReplicas {
		writeError(
			w,
			http.StatusInsufficientStorage,
			string(registry.CapacityExceeded),
			fmt.Sprintf("there are %d replicas already", len(servers)),
			0,
		)
		return
	}
	if known != address {
		if result, err := s.replica.apply(c); err != nil || result.Code != registry.Applied {
			s.writeResult(w, result, err)
			return
		}
	}
	switch {
	case i < 0:
		err = classifyRaftError(
			s.replica.raft.AddNonvoter(raft.ServerID(c.Name), raft.ServerAddress(c.Name), 0, applyTimeout).Error(),
		)
	case servers[i].Suffrage != raft.Voter && s.upToDate(r.Context(), address):
		err = classifyRaftError(
			s.replica.raft.AddVoter(raft.ServerID(c.Name), raft.ServerAddress(c.Name), 0, applyTimeout).Error(),
		)
	}
	if err == nil {
		servers, err = s.replica.servers()
	}
	if i = slices.IndexFunc(servers, isNamed); err != nil || i < 0 {
		s.writeResult(w, registry.Result{}, removedError(err))
		return
	}
	writeJSON(w, http.StatusOK, s.describe(servers[i]))
}

// removedError returns the error for a replica that is missing after it was added. If err is nil, another
// call has removed the replica.
func removedError(err error) error {
	if err == nil {
		err = errors.New("it has been removed meanwhile")
	}
	return fmt.Errorf("%w: %w", errNotLeading, err)
}

// upToDate reports whether a replica responds and has at least this replica's version of the list.
func (s *Server) upToDate(ctx context.Context, address registry.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*behindWait)
	defer cancel()
	version, epoch := s.listHub.current()
	q := url.Values{"from": {strconv.FormatUint(version, 10)}, "epoch": {epoch}}
	req, err := http.NewRequestWithContext(
		ctx,
		http.MethodGet,
		"http://"+address.HTTP+"/registry/instances?"+q.Encode(),
		nil,
	)
	if err != nil {
		return false
	}
	resp, err := leaderTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer besteffort.Close(resp.Body)
	besteffort.Drained(io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes)))
	return resp.StatusCode == http.StatusOK
}

// removeReplica removes a replica from the cluster. A leader that is to be removed transfers its leadership
// and rejects the call; the new leader removes it when the call is repeated.
func (s *Server) removeReplica(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	servers, err := s.replica.servers()
	if err != nil {
		s.writeResult(w, registry.Result{}, fmt.Errorf("%w: %w", errNotLeading, err))
		return
	}
	exists := slices.ContainsFunc(servers, func(m raft.Server) bool { return string(m.ID) == name })
	otherVoters := slices.ContainsFunc(
		servers,
		func(m raft.Server) bool { return string(m.ID) != name && m.Suffrage == raft.Voter },
	)
	switch {
	case !exists:
		writeError(w, http.StatusNotFound, string(registry.NotFound), "there is no replica "+name, 0)
		return
	case !otherVoters:
		writeError(w, http.StatusConflict, string(registry.Conflict), name+" is the only one that votes", 0)
		return
	case name == s.config.Name:
		err = s.replica.raft.LeadershipTransfer().Error()
		writeError(
			w,
			http.StatusServiceUnavailable,
			"not-leading",
			fmt.Sprintf("this replica is to go, and hands leadership on (%v)", err),
			time.Second,
		)
		return
	}
	removal := s.replica.raft.RemoveServer(raft.ServerID(name), 0, applyTimeout)
	if err = classifyRaftError(removal.Error()); err == nil {
		_, err = s.replica.apply(registry.Command{Op: registry.OpForgetReplica, Name: name})
	}
	version, _ := s.listHub.current()
	s.writeResult(w, registry.Result{Version: version}, err)
}
