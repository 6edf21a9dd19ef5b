package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an answer that isn't the caller's own: a backend server sends a second copy of an answer on an idle connection, which is
// then used again.
func TestSecondCopyOfAnswerIsNotUsed(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	go serveTwice(ln)
	b := newBackend(&url.URL{Scheme: "http", Host: ln.Addr().String()})
	defer b.close()
	for _, path := range []string{"/one", "/two", "/three"} {
		req, err := http.NewRequest(http.MethodGet, b.baseURL.String()+path, nil)
		is.NoErr(err)
		resp, err := b.transport.RoundTrip(req)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(string(body), path)
		time.Sleep(4 * copyDelay) // The copy comes meanwhile.
	}
}

const copyDelay = 25 * time.Millisecond

// serveTwice answers each request with its path, and copyDelay later once more.
func serveTwice(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				for range 2 {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
					time.Sleep(copyDelay)
				}
			}
		}()
	}
}
