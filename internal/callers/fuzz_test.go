package callers

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// bytesConn is a connection that reads from a fixed byte slice, at most step
// bytes at a time.
type bytesConn struct {
	net.Conn
	left []byte
	step int
}

// Read implements net.Conn.
func (c *bytesConn) Read(p []byte) (int, error) {
	if len(c.left) == 0 {
		return 0, net.ErrClosed
	}
	n := copy(p, c.left[:min(len(c.left), c.step)])
	c.left = c.left[n:]
	return n, nil
}

// SetReadDeadline implements net.Conn.
func (c *bytesConn) SetReadDeadline(time.Time) error { return nil }

// FuzzFrames checks that no input makes the reader panic, loop or read a
// message beyond the limit, and that the result does not depend on how the
// bytes are split into reads.
func FuzzFrames(f *testing.F) {
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Query{String: "SELECT 1 /*max_age='1s'*/"},
		&pgproto3.Parse{Name: "s", Query: "SELECT $1", ParameterOIDs: []uint32{25}},
		&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("x"), nil}, ResultFormatCodes: []int16{1}},
		&pgproto3.Describe{ObjectType: 'S', Name: "s"},
		&pgproto3.Execute{MaxRows: 1}, &pgproto3.Close{ObjectType: 'P'}, &pgproto3.Flush{}, &pgproto3.Sync{},
		&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.Terminate{},
	} {
		b, err := m.Encode(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, byte(1))
		f.Add(append(b, b...), byte(7))
		f.Add(b[:len(b)-1], byte(255))
	}
	f.Add([]byte{'B', 0, 0, 0, 12, 0, 0, 255, 255, 0, 0, 0, 0}, byte(3))
	f.Add([]byte{'Q', 255, 255, 255, 255}, byte(3))
	f.Fuzz(func(t *testing.T, data []byte, step byte) {
		const limit = 1 << 16
		whole := readAll(t, data, len(data)+1, limit)
		parts := readAll(t, data, int(step)+1, limit)
		if whole != parts {
			t.Fatalf("%d messages at once, %d in parts", whole, parts)
		}
	})
}

func readAll(t *testing.T, data []byte, step, limit int) int {
	in := messageReader{conn: &bytesConn{left: data, step: step}, max: limit}
	var b Batch
	for n := 0; ; n++ {
		in.releaseBuffer()
		m, err := in.next()
		if err != nil {
			return n
		}
		if size := b.add(m); size > 8*limit {
			t.Fatalf("a message of %d bytes", size)
		}
	}
}
