package callers

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// Batch is one request: a simple query, or extended-protocol messages up to a
// Sync or Flush, which is left out.
type Batch struct {
	// Query is the text of a simple query; Messages is empty then.
	Query string
	// Messages are Parse, Bind, Describe, Execute and Close in order.
	Messages []pgproto3.FrontendMessage
	// Simple is set if the request is a simple query.
	Simple bool
	// Partial is set if the messages end with a Flush: their responses are due,
	// but the implicit transaction continues until a Sync.
	Partial bool
}

// Executes reports whether the batch runs a statement, or ends one that ran
// before a Flush. A batch that only prepares or closes statements returns no data.
func (b *Batch) Executes() bool {
	for _, m := range b.Messages {
		if _, ok := m.(*pgproto3.Execute); ok {
			return true
		}
	}
	return len(b.Messages) == 0
}

// add appends m and returns its approximate size in bytes.
func (b *Batch) add(m pgproto3.FrontendMessage) int {
	b.Messages = append(b.Messages, m)
	return messageOverheadBytes + messageSize(m)
}

// messageOverheadBytes is the approximate memory of a message apart from its
// text.
const messageOverheadBytes = 64

func messageSize(m pgproto3.FrontendMessage) int {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return len(m.Query) + len(m.Name) + 4*len(m.ParameterOIDs)
	case *pgproto3.Bind:
		return bindSize(m)
	case *pgproto3.Describe:
		return len(m.Name)
	case *pgproto3.Execute:
		return len(m.Portal)
	case *pgproto3.Close:
		return len(m.Name)
	}
	return 0
}

func bindSize(m *pgproto3.Bind) int {
	n := len(m.DestinationPortal) + len(m.PreparedStatement) + 24*len(m.Parameters)
	for _, p := range m.Parameters {
		n += len(p)
	}
	return n
}
