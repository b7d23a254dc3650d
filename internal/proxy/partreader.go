package proxy

import (
	"io"
	"net/http"

	"wrenspread/internal/socketoption"
)

// maxChunkFraming is the number of bytes between the data of two chunks: a line end and a chunk's size of up
// to eight digits with its line end.
const maxChunkFraming = 12

// partReader reads a chunked body as its bytes come. The standard library's reader waits, in a chunk that has
// not come completely, until the caller's buffer is full; partReader never asks it for more than has come.
type partReader struct {
	body io.Reader
	conn *conn // from which body reads
}

// Read waits for the first byte only. Where a part ends within the framing between two chunks, at most
// maxChunkFraming bytes ahead of that framing wait for the rest of it.
func (r partReader) Read(p []byte) (n int, err error) {
	for err == nil && n < len(p) {
		available := r.conn.available()
		size := 1
		switch {
		case available > maxChunkFraming:
			size = available / 2 // the rest may be framing
		case n > maxChunkFraming || n > 0 && available == 0:
			return n, nil
		}
		var read int
		read, err = r.body.Read(p[n:min(len(p), n+size)])
		n += read
	}
	return n, err
}

// bodyReader returns the reader of a response's body. It returns what has come of the body, and waits only if
// nothing has.
func (c *conn) bodyReader(resp *http.Response) io.Reader {
	if len(resp.TransferEncoding) > 0 {
		return partReader{body: resp.Body, conn: c}
	}
	return resp.Body
}

// available returns how many bytes of the connection can be read without waiting, at least.
func (c *conn) available() int {
	buffered := c.reader.Buffered()
	if buffered > maxChunkFraming {
		return buffered
	}
	unread, _ := socketoption.Unread(c.Conn) // 0 if it is not known
	return buffered + int(unread)
}
