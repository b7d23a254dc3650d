package memory

// The costs of clients' work, in bytes.
const (
	// Connection is the cost of an open connection: the buffers and the goroutine of the HTTP server.
	Connection = 10 << 10
	// Request is the cost of a request that comes, beside its head and body.
	Request = 1 << 10
	// forwarding is the cost of a request that is forwarded, beside its head and body: the goroutines that serve
	// it, and the connection to a backend.
	forwarding = 24 << 10
	// field is the cost of a field of a head, once it is parsed and copied for the backend.
	field = 300
	// headByte is the cost of a byte of a head: it is read into lines, parsed into values, and encoded again.
	headByte = 3
	// LongBody is the cost of a request's body that is forwarded while it comes, beside what is buffered of it.
	LongBody = 56 << 10
	// LongResponse is the cost of a response that is forwarded while it comes, beside what is buffered of it.
	LongResponse = 24 << 10
)

// Head returns the cost of a head of some bytes with some fields.
func Head(bytes, fields int) int64 { return int64(bytes)*headByte + int64(fields)*field }

// Forwarding returns the cost of forwarding a request with some buffered bytes of a body: they are copied, as
// one write sends the request.
func Forwarding(bodyBytes int) int64 { return forwarding + int64(bodyBytes) }
