// Package besteffort discards errors that need no handling. Each function is for one reason, so that a reader
// of the call knows why the error is ignored. An error that indicates a fault must be returned or logged
// instead.
package besteffort

import "io"

// Close closes a connection, a listener, or a file that was only read. Closing fails only if c is closed or
// broken already, so nothing is lost. A file that was written must be closed with its error checked.
func Close(c io.Closer) { _ = c.Close() }

// SocketOption discards the error of a deadline or another option of a socket. Setting it fails if the socket
// is closed or broken, which the next read or write reports.
func SocketOption(error) {}

// Response discards the result of writing a response. The write fails if the client has closed the
// connection, and then no client is waiting for the response.
func Response(int, error) {}

// Encode discards the error of an encoder that writes a response, for the same reason as Response.
func Encode(error) {}

// Output discards the result of writing to a terminal, a report's buffer or a log. There is no other place to
// which the error could be reported.
func Output(int, error) {}

// Datagram discards the result of sending a datagram. The network may lose the datagram as well, so the
// sender has to tolerate its loss.
func Datagram(int, error) {}

// Signal discards the error of signalling a process. It fails if the process has ended, which the owner of
// the process notices by waiting for it.
func Signal(error) {}

// Cleanup discards the error of removing files that are not needed any more. A file that remains only takes
// space.
func Cleanup(error) {}

// Drained discards the result of reading a body to its end. The body is only read so that its
// connection can be reused.
func Drained(int64, error) {}

// Sample discards the error of a histogram that can't record a value. The bounds of histograms are wide, and
// a value beyond a bound is counted at the bound.
func Sample(error) {}

// Ended discards the error with which a goroutine or a process has ended on request, because its context was
// cancelled or it was killed.
func Ended(error) {}
