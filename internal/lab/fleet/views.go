package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
)

const (
	viewPollInterval = 50 * time.Millisecond // precision of the times of views
	viewPollTimeout  = time.Second           // for a node to answer with its view
	maxViewBytes     = 1 << 20               // size of a response
)

// nodeView is a node's view of the fleet, as its control address returns it.
type nodeView struct {
	Life    uint64 `json:"life"`
	Number  uint64 `json:"number"`
	Digest  string `json:"digest"`
	Members []struct {
		Name        string `json:"name"`
		Health      string `json:"health"`
		Life        uint64 `json:"life"`
		Incarnation uint32 `json:"incarnation"`
	} `json:"members"`
}

// watchView records the changes of a node's view in the history until ctx ends. Nothing is recorded while the
// node doesn't answer, for instance because it is dead or paused.
func (n *node) watchView(ctx context.Context) {
	var last nodeView
	for backoff.Sleep(ctx, viewPollInterval) {
		n.mu.Lock()
		control := n.controlAddress
		n.mu.Unlock()
		if control == "" {
			continue
		}
		s, err := fetchView(ctx, control)
		if err != nil || s.Life == last.Life && s.Digest == last.Digest {
			continue
		}
		last = s
		e := history.Event{
			Kind:   history.View,
			Node:   n.name,
			Index:  s.Number,
			How:    s.Digest,
			Detail: strconv.FormatUint(s.Life, 10),
		}
		for _, m := range s.Members {
			e.Also = append(e.Also, fmt.Sprintf("%s %s %d %d", m.Name, m.Health, m.Life, m.Incarnation))
		}
		n.fleet.log.Add(e)
	}
}

// fetchView requests the view of the node with the given control address.
func fetchView(ctx context.Context, control string) (s nodeView, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewPollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/fleet", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer besteffort.Close(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxViewBytes)).Decode(&s)
	return s, err
}
