// Command wrenspread-sim-adapter runs balancers for the simulator. Each line on standard input is a batch of
// events, and is answered by a line with the resulting actions on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"wrenspread/balancer"
	"wrenspread/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wrenspread-sim-adapter:", err)
		os.Exit(1)
	}
}

// run answers each line of the input with a line on the output. It returns an error at the first invalid
// line, and nil at the end of the input.
func run(input io.Reader, output io.Writer) error {
	reader, writer := bufio.NewReaderSize(input, 1<<20), bufio.NewWriterSize(output, 1<<20)
	instances := map[int]*balancer.Balancer{}
	var reply []byte
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		replies, err := handleBatch(instances, line)
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		reply = simwire.AppendReply(reply[:0], replies)
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch passes the events of a batch to the instances, which are keyed by their numbers, and returns
// the instances' actions. It starts and ends instances for the events up and retire.
func handleBatch(instances map[int]*balancer.Balancer, line []byte) ([]simwire.Reply, error) {
	batch, err := simwire.DecodeBatch(line)
	if err != nil {
		return nil, err
	}
	var replies []simwire.Reply
	for _, group := range batch.Groups {
		reply := simwire.Reply{Proxy: group.Proxy}
		for i, event := range group.Events {
			switch {
			case event.Start != nil:
				instances[group.Proxy] = balancer.New(event.Start.Settings, event.Start.Seed)
			case event.Retire:
				delete(instances, group.Proxy)
				reply.Actions = nil // an ended instance performs no actions
			default:
				instance := instances[group.Proxy]
				if instance == nil {
					return nil, fmt.Errorf("node %d, event %d: the instance was not started by an up event", group.Proxy, i)
				}
				reply.Actions = append(reply.Actions, instance.Handle(batch.Now, event.Event)...)
			}
		}
		replies = append(replies, reply)
	}
	return replies, nil
}
