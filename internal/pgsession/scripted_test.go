package pgsession

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// fault is what a scripted server does with the request for which it is armed.
type fault int

const (
	faultNone fault = iota
	// faultCutBefore closes the connection without running the request.
	faultCutBefore
	// faultCutAfter runs the request and closes the connection.
	faultCutAfter
	// faultCutMidAnswer runs the request, sends a part of the response and
	// closes the connection.
	faultCutMidAnswer
	// faultSilent runs the request and never responds.
	faultSilent
	// faultLate runs the request and responds once the test releases it.
	faultLate
	// faultError responds with an error and does not run the request.
	faultError
	// faultRejected responds that the server is not the primary, and does not
	// run the request.
	faultRejected
)

var faultNames = [...]string{"none", "cut before", "cut after", "cut mid-answer", "silent", "late", "error", "rejected"}

// scriptedServer speaks the protocol of an upstream and counts executions.
type scriptedServer struct {
	t        *testing.T
	listener net.Listener
	// release is closed by the test to let late responses out.
	release chan struct{}

	mu sync.Mutex
	// match, fault and always are the arguments of the last call of arm.
	match  string
	fault  fault
	always bool
	// executed counts the executions of each request, written all of them.
	executed map[string]int
	written  uint64
}

func newScriptedServer(t *testing.T) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedServer{t: t, listener: l, release: make(chan struct{}), executed: make(map[string]int)}
	var done sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		done.Wait()
	})
	done.Add(1)
	go func() {
		defer done.Done()
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	return s
}

// arm makes the server apply f to the next request that contains match, or to
// every one if always is set.
func (s *scriptedServer) arm(match string, f fault, always bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.match, s.fault, s.always = match, f, always
}

// takeFault returns the fault that applies to sql and disarms it unless it is to
// be applied always.
func (s *scriptedServer) takeFault(sql string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == faultNone || !strings.Contains(sql, s.match) {
		return faultNone
	}
	f := s.fault
	if !s.always {
		s.fault = faultNone
	}
	return f
}

func (s *scriptedServer) executions(sql string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[sql]
}

func (s *scriptedServer) execute(sql string) (position string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executed[sql]++
	s.written++
	return fmt.Sprintf("1/%d", s.written)
}

func (s *scriptedServer) serve(nc net.Conn) {
	defer nc.Close()
	be := pgproto3.NewBackend(nc, nc)
	msg, err := be.ReceiveStartupMessage()
	if _, ok := msg.(*pgproto3.StartupMessage); err != nil || !ok {
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	status := byte('I')
	for be.Flush() == nil {
		msg, err := be.Receive()
		if err != nil {
			return
		}
		q, ok := msg.(*pgproto3.Query)
		if !ok {
			return
		}
		if !s.query(be, q.String, &status) {
			_ = be.Flush()
			return
		}
	}
}

// query responds to one query; it returns false to close the connection.
func (s *scriptedServer) query(be *pgproto3.Backend, sql string, status *byte) bool {
	f := s.takeFault(sql)
	switch f {
	case faultCutBefore:
		return false
	case faultError, faultRejected:
		s.refuse(be, f, status)
		return true
	}
	position := s.execute(sql)
	switch f {
	case faultCutAfter:
		return false
	case faultSilent:
		_, _ = be.Receive()
		return false
	case faultLate:
		<-s.release
	}
	s.answer(be, sql, position, status, f == faultCutMidAnswer)
	if f == faultCutMidAnswer {
		return false
	}
	be.Send(&pgproto3.ReadyForQuery{TxStatus: *status})
	return true
}

func (s *scriptedServer) refuse(be *pgproto3.Backend, f fault, status *byte) {
	code := "23505"
	if f == faultRejected {
		code = "25006"
	}
	be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "scripted"})
	if *status == 'T' {
		*status = 'E'
	}
	be.Send(&pgproto3.ReadyForQuery{TxStatus: *status})
}

func (s *scriptedServer) answer(be *pgproto3.Backend, sql, position string, status *byte, cut bool) {
	word, _, _ := strings.Cut(sql, " ")
	tag := "SELECT 1"
	switch {
	case word == "BEGIN":
		tag, *status = word, 'T'
	case word == "COMMIT":
		tag, *status = word, 'I'
		be.Send(&pgproto3.ParameterStatus{Name: "cranberrystage.position", Value: position})
	case word == "INSERT":
		tag = "INSERT 0 1"
		if *status == 'I' {
			be.Send(&pgproto3.ParameterStatus{Name: "cranberrystage.position", Value: position})
		}
	case strings.HasPrefix(sql, "RESET ALL"):
		tag = "RESET"
	case strings.HasPrefix(sql, "SELECT CASE"):
		s.row(be, "0")
	case strings.HasPrefix(sql, "SELECT pg_catalog.pg_advisory_unlock"):
		s.row(be, "t")
	default:
		s.row(be, "answer to "+sql)
		if cut {
			return
		}
		s.row(be, "end of "+sql)
	}
	if !cut || *status == 'I' {
		be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
}

func (s *scriptedServer) row(be *pgproto3.Backend, value string) {
	be.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}
