package pgsession

import (
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/sqltext"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tags"
	"github.com/jackc/pgx/v5/pgproto3"
)

// localStatement is a statement that the session runs itself, without an
// upstream.
type localStatement struct {
	// tag is the command tag of the response.
	tag string
	run func(s *callerSession) error
}

// findLocal returns the local statement that sql is, if any.
func (s *callerSession) findLocal(sql string) (localStatement, bool) {
	switch sqltext.FirstWord(sql) {
	case "set":
		set, ok := tags.ParseSet(sql)
		return localStatement{tag: "SET", run: func(s *callerSession) error { return s.setTag(set) }}, ok
	case "reset":
		reset, ok := tags.ParseReset(sql)
		return localStatement{tag: "RESET", run: func(s *callerSession) error { return s.tags.Reset(reset.Name, s.startupTags) }}, ok
	case "discard":
		words := sqltext.Words(sql, 2)
		return localStatement{tag: "DISCARD ALL", run: (*callerSession).discardAll}, len(words) == 2 && words[1] == "all"
	case "deallocate":
		return localStatement{tag: "DEALLOCATE", run: deallocate(sql)}, true
	case "rollback", "abort", "commit", "end":
		return localStatement{tag: "ROLLBACK", run: (*callerSession).endLostTransaction}, s.transactionLost
	}
	return localStatement{}, false
}

func (s *callerSession) discardAll() error {
	if s.status != statement.Idle {
		return codes.New(codes.SessionState, codes.NotRun, 0, "DISCARD ALL in a transaction")
	}
	s.applySettings([]change{{kind: changeResetAll}})
	clear(s.prepared)
	return nil
}

// deallocate closes a prepared statement by its name, or all.
func deallocate(sql string) func(*callerSession) error {
	return func(s *callerSession) error {
		words := strings.Fields(withoutComments(sql))
		if len(words) > 2 && strings.EqualFold(words[1], "prepare") {
			words = words[1:]
		}
		switch {
		case len(words) != 2:
			return refuseState("this form of DEALLOCATE")
		case strings.EqualFold(words[1], "all"):
			clear(s.prepared)
		default:
			delete(s.prepared, strings.Trim(words[1], `"`))
		}
		return nil
	}
}

func (s *callerSession) endLostTransaction() error {
	s.transactionLost = false
	s.status = statement.Idle
	return nil
}

// statements returns the texts of the statements that a batch holds.
func (s *callerSession) statements(b *callers.Batch) []string {
	if b.Simple {
		return sqltext.Split(b.Query)
	}
	return s.prepared.texts(b.Messages)
}

// sql returns the text in which a batch may declare tags.
func (s *callerSession) sql(b *callers.Batch) string {
	if b.Simple {
		return b.Query
	}
	return s.prepared.text(b.Messages)
}

// local serves the batch if it needs no upstream, and reports whether it did.
func (s *callerSession) local(b *callers.Batch, resp *callers.Response) (done bool, err error) {
	if !b.Simple && s.pinned == nil && !s.transactionLost && closesOnly(b.Messages) {
		return true, s.closeStatements(b, resp)
	}
	statements := s.statements(b)
	if len(statements) == 1 {
		if st, ok := s.findLocal(statements[0]); ok {
			return true, s.runLocal(st, b, resp)
		}
	}
	if s.transactionLost {
		return true, codes.New(codes.UpstreamLost, codes.NotRun, 0, "the transaction is over; roll back")
	}
	return false, nil
}

// runLocal runs a local statement and responds in the protocol of b, simple or
// extended.
func (s *callerSession) runLocal(st localStatement, b *callers.Batch, resp *callers.Response) error {
	if b.Simple {
		if err := st.run(s); err != nil {
			return err
		}
		return resp.Send(&pgproto3.CommandComplete{CommandTag: []byte(st.tag)})
	}
	for _, m := range b.Messages {
		if err := s.localMessage(st, m, resp); err != nil {
			return err
		}
	}
	return nil
}

func (s *callerSession) localMessage(st localStatement, m pgproto3.FrontendMessage, resp *callers.Response) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		s.prepared[m.Name] = newPreparedStatement(m)
		return resp.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return resp.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			if err := resp.Send(&pgproto3.ParameterDescription{}); err != nil {
				return err
			}
		}
		return resp.Send(&pgproto3.NoData{})
	case *pgproto3.Execute:
		if err := st.run(s); err != nil {
			return err
		}
		return resp.Send(&pgproto3.CommandComplete{CommandTag: []byte(st.tag)})
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		}
		return resp.Send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (s *callerSession) closeStatements(b *callers.Batch, resp *callers.Response) error {
	for _, m := range b.Messages {
		delete(s.prepared, m.(*pgproto3.Close).Name)
		if err := resp.Send(&pgproto3.CloseComplete{}); err != nil {
			return err
		}
	}
	return nil
}
