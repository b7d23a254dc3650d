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

// sentTraffic counts the datagrams and bytes that a group of nodes has sent to its peers.
type sentTraffic struct{ datagrams, bytes float64 }

// statsLine matches a line of the answer to /stats: a figure and its value.
var statsLine = regexp.MustCompile(`(?m)^app\.([a-z.]+):(\d+)\|`)

// readStats reads the figures of the node at a control address, by name without the leading "app.".
func readStats(ctx context.Context, control string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/stats", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read the figures of node %s: %w", control, err)
	}
	defer besteffort.Close(resp.Body)
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read the figures of node %s: %w", control, err)
	}
	all := map[string]float64{}
	for _, m := range statsLine.FindAllStringSubmatch(string(raw), -1) {
		all[m[1]], _ = strconv.ParseFloat(m[2], 64) // digits
	}
	return all, nil
}

// trafficSentBy sums the traffic that the first sampledNodes nodes have sent since their start.
func trafficSentBy(ctx context.Context, controls []string) (all sentTraffic, err error) {
	for _, at := range controls[:min(sampledNodes, len(controls))] {
		f, err := readStats(ctx, at)
		if err != nil {
			return all, err
		}
		all.datagrams, all.bytes = all.datagrams+f["fleet.datagrams"], all.bytes+f["fleet.bytes"]
	}
	return all, nil
}

// freeUDPAddresses finds n different free loopback addresses for UDP.
func freeUDPAddresses(n int) (all []string, err error) {
	for range n {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, fmt.Errorf("find a free UDP address: %w", err)
		}
		defer besteffort.Close(c) // only after all are found: a closed address may be assigned again
		all = append(all, c.LocalAddr().String())
	}
	return all, nil
}
