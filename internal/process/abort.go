package process

import (
	"net"
	"net/http"
)

// ResetOnAbort returns a handler that resets the connection of an HTTP/1.0 caller when next panics, as with
// http.ErrAbortHandler. An answer to such a caller ends with its connection, so that closing the connection regularly
// would make an aborted answer look complete.
func ResetOnAbort(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.ProtoAtLeast(1, 1) {
			defer func() {
				if cause := recover(); cause != nil {
					reset(w)
					panic(cause)
				}
			}()
		}
		next.ServeHTTP(w, r)
	})
}

// reset closes the connection of an answer with a reset. It does nothing if the connection is closed already.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	disableLinger(conn)
	_ = conn.Close()
}

// disableLinger makes the next Close of the TCP connection below conn discard unsent data and reset the connection.
func disableLinger(conn net.Conn) {
	switch c := conn.(type) {
	case interface{ SetLinger(seconds int) error }:
		_ = c.SetLinger(0)
	case interface{ NetConn() net.Conn }:
		disableLinger(c.NetConn())
	}
}
