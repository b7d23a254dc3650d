// Package besteffort discards errors for which there is nothing to do. Each function stands for one reason,
// so that a reader of the call knows why the error is not looked at. An error that tells of a fault must be
// returned or logged instead.
package besteffort

import "io"

// Close closes a connection, a listener, or a file that was only read. It fails if that is closed or broken
// already, which leaves nothing to do. A file that was written must be closed with its error checked.
func Close(c io.Closer) { _ = c.Close() }

// SocketOption discards the error of a deadline or another option of a socket. Setting it fails if the socket
// is closed or broken, which the next read or write reports.
func SocketOption(error) {}

// Response discards the result of writing a response. If that fails, its reader is gone and needs nothing.
func Response(int, error) {}

// Encode is Response for an encoder that writes a response.
func Encode(error) {}

// Output discards the result of writing to a terminal, a report's buffer or a log. There is nowhere else to
// report to.
func Output(int, error) {}

// Datagram discards the result of sending a datagram. It may be lost on its way just as well.
func Datagram(int, error) {}

// Signal discards the error of signalling a process. It fails if the process has ended, which its owner waits
// for.
func Signal(error) {}

// Cleanup discards the error of removing files that nobody needs any more. What stays costs space alone.
func Cleanup(error) {}

// Drained discards the result of reading a body to its end. The read only serves to use its connection again.
func Drained(int64, error) {}

// Sample discards the error of a histogram that can't hold a value: its bounds are wide, and what is beyond
// them is counted at the bound.
func Sample(error) {}

// Ended discards the error with which something has ended on request, such as a goroutine whose context was
// cancelled or a process that was killed.
func Ended(error) {}
