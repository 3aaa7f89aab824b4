package platformd

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func request(t *testing.T, h http.Handler, method, path, body string, header http.Header) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header = header
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestRowsOverHTTP(t *testing.T) {
	s := New()
	create := http.Header{"If-None-Match": {"*"}}
	assert.Equal(t, request(t, s, "PUT", "/tables/rows/a/b", "1", create).Code, http.StatusNoContent)
	assert.Equal(t, request(t, s, "PUT", "/tables/rows/a/b", "2", create).Code, http.StatusPreconditionFailed)
	got := request(t, s, "GET", "/tables/rows/a/b", "", nil)
	assert.Equal(t, got.Body.String(), "1")
	assert.Equal(t, got.Header().Get("ETag"), `"1"`)
	update := http.Header{"If-Match": {`"1"`}}
	assert.Equal(t, request(t, s, "PUT", "/tables/rows/a/b", "2", update).Code, http.StatusNoContent)
	assert.Equal(t, request(t, s, "PUT", "/tables/rows/a/b", "3", update).Code, http.StatusPreconditionFailed)
	bad := http.Header{"If-Match": {"x"}}
	assert.Equal(t, request(t, s, "PUT", "/tables/rows/a/b", "4", bad).Code, http.StatusBadRequest)
	assert.Equal(t, request(t, s, "POST", "/tables/transactions", "{", nil).Code, http.StatusBadRequest)
	assert.Equal(t, request(t, s, "GET", "/tables/transactions/none", "", nil).Code, http.StatusNotFound)
}

func TestFaultControl(t *testing.T) {
	s := New()
	down := request(t, s, "PUT", "/faults", `{"kind":"down","calls":1}`, nil)
	assert.Equal(t, down.Code, http.StatusNoContent)
	assert.Equal(t, request(t, s, "GET", "/vms", "", nil).Code, http.StatusServiceUnavailable)
	assert.Equal(t, request(t, s, "GET", "/vms", "", nil).Code, http.StatusOK)
	assert.Equal(t, request(t, s, "PUT", "/faults", `{"kind":"odd"}`, nil).Code, http.StatusBadRequest)
	var counts map[string]int
	body := request(t, s, "GET", "/requests", "", nil).Body
	assert.NilError(t, json.NewDecoder(body).Decode(&counts))
	assert.Equal(t, counts["vmLists"], 2)
}

func TestCancelledRequestTakesEffect(t *testing.T) {
	s := New()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := httptest.NewRequestWithContext(ctx, "PUT", "/tables/rows/k", strings.NewReader("1"))
	s.ServeHTTP(httptest.NewRecorder(), r)
	assert.Equal(t, request(t, s, "GET", "/tables/rows/k", "", nil).Body.String(), "1")
}

func TestReadChunks(t *testing.T) {
	good := "3;chunk-signature=x\r\nabc\r\n2\r\nde\r\n0;chunk-signature=y\r\nx-amz-checksum-crc32c:zz\r\n\r\n"
	body, err := readChunks(bufio.NewReader(strings.NewReader(good)))
	assert.NilError(t, err)
	assert.Equal(t, string(body), "abcde")
	for _, bad := range []string{"", "x\r\n", "-1\r\n", "fffffffff\r\n", "3\r\nab", "3\r\nabc"} {
		_, err := readChunks(bufio.NewReader(strings.NewReader(bad)))
		assert.Assert(t, err != nil, "%q", bad)
	}
}
