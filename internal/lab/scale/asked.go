package scale

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"

	"wrenspread/internal/besteffort"
)

// sent is what nodes have sent each other.
type sent struct{ datagrams, bytes float64 }

var statsLine = regexp.MustCompile(`(?m)^app\.([a-z.]+):(\d+)\|`)

// statsOf asks a node for its figures.
func statsOf(ctx context.Context, control string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/stats", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("a node's figures: %w", err)
	}
	defer besteffort.Close(resp.Body)
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("a node's figures: %w", err)
	}
	all := map[string]float64{}
	for _, m := range statsLine.FindAllStringSubmatch(string(raw), -1) {
		all[m[1]], _ = strconv.ParseFloat(m[2], 64) // digits
	}
	return all, nil
}

// sentBy asks the first nodes what they have sent.
func sentBy(ctx context.Context, controls []string) (all sent, err error) {
	for _, at := range controls[:min(sampled, len(controls))] {
		f, err := statsOf(ctx, at)
		if err != nil {
			return all, err
		}
		all.datagrams, all.bytes = all.datagrams+f["fleet.datagrams"], all.bytes+f["fleet.bytes"]
	}
	return all, nil
}

// freeUDP finds so many addresses for messages, each another.
func freeUDP(n int) (all []string, err error) {
	for range n {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, fmt.Errorf("an address for messages: %w", err)
		}
		defer besteffort.Close(c) // once all are had: one that is free again may come twice
		all = append(all, c.LocalAddr().String())
	}
	return all, nil
}
