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

// sentTraffic counts the datagrams and bytes that some nodes have sent to their peers.
type sentTraffic struct{ datagrams, bytes float64 }

// statsLine matches a line of the response to /stats: the name of a figure, and its value.
var statsLine = regexp.MustCompile(`(?m)^app\.([a-z.]+):(\d+)\|`)

// readStats reads the figures of the node with a control address. Their names lack the leading "app.".
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
	figures := map[string]float64{}
	for _, m := range statsLine.FindAllStringSubmatch(string(raw), -1) {
		figures[m[1]], _ = strconv.ParseFloat(m[2], 64) // the pattern matches digits only
	}
	return figures, nil
}

// trafficSentBy sums the traffic that the first sampledNodes nodes have sent since their start.
func trafficSentBy(ctx context.Context, controls []string) (sum sentTraffic, err error) {
	for _, control := range controls[:min(sampledNodes, len(controls))] {
		figures, err := readStats(ctx, control)
		if err != nil {
			return sum, err
		}
		sum.datagrams, sum.bytes = sum.datagrams+figures["fleet.datagrams"], sum.bytes+figures["fleet.bytes"]
	}
	return sum, nil
}

// freeUDPAddresses finds n different free loopback addresses for UDP.
func freeUDPAddresses(n int) (addresses []string, err error) {
	for range n {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, fmt.Errorf("find a free UDP address: %w", err)
		}
		defer besteffort.Close(c) // only after the loop: a released address could be assigned again
		addresses = append(addresses, c.LocalAddr().String())
	}
	return addresses, nil
}
