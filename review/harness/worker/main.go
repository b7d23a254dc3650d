// Command worker is work that reports to a case that it goes on. It ends when the case does.
package main

import (
	"fmt"
	"net"
	"os"
	"time"
)

func main() {
	conn, err := net.Dial("tcp", os.Args[1])
	if err != nil {
		os.Exit(1)
	}
	for {
		if _, err := fmt.Fprintf(conn, "%s %s %d\n", os.Args[2], os.Getenv("INDIGO_FENCE"), os.Getpid()); err != nil {
			os.Exit(1)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
