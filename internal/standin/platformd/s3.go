package platformd

import (
	"bufio"
	"bytes"
	"crypto/md5"
	"encoding/hex"
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/pkg/errors"
)

// s3Error is the body of an S3 error response.
type s3Error struct {
	XMLName xml.Name `xml:"Error"`
	Code    string   `xml:"Code"`
	Message string   `xml:"Message"`
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	body, err := s.store.Objects().Get(r.Context(), objectKey(r))
	if errors.Is(err, platform.ErrNotFound) {
		writeS3Error(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	if err != nil {
		writeS3Error(w, http.StatusServiceUnavailable, "ServiceUnavailable")
		return
	}
	w.Header().Set("ETag", contentETag(body))
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", s.started, bytes.NewReader(body))
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := readObject(w, r)
	if err != nil {
		writeS3Error(w, http.StatusBadRequest, "IncompleteBody")
		return
	}
	err = s.storeObject(r, body)
	if errors.Is(err, platform.ErrConflict) {
		writeS3Error(w, http.StatusPreconditionFailed, "PreconditionFailed")
		return
	}
	if err != nil {
		writeS3Error(w, http.StatusServiceUnavailable, "ServiceUnavailable")
		return
	}
	w.Header().Set("ETag", contentETag(body))
}

// storeObject stores the object. With If-None-Match: * it returns ErrConflict if
// the object exists; if two such requests race, the first body is kept.
func (s *Server) storeObject(r *http.Request, body []byte) error {
	objects := s.store.Objects()
	key := objectKey(r)
	if r.Header.Get("If-None-Match") != "*" {
		return objects.Replace(r.Context(), key, body)
	}
	if _, err := objects.Get(r.Context(), key); err == nil {
		return platform.ErrConflict
	}
	return objects.Put(r.Context(), key, body)
}

func objectKey(r *http.Request) string { return r.PathValue("bucket") + "/" + r.PathValue("key") }

func contentETag(body []byte) string {
	sum := md5.Sum(body)
	return strconv.Quote(hex.EncodeToString(sum[:]))
}

func writeS3Error(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(s3Error{Code: code, Message: http.StatusText(status)})
}

// readObject returns the request's body, decoded if it uses the aws-chunked
// encoding.
func readObject(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body := http.MaxBytesReader(w, r.Body, bodyLimit)
	if !strings.HasPrefix(r.Header.Get("X-Amz-Content-Sha256"), "STREAMING-") {
		return io.ReadAll(body)
	}
	return readChunks(bufio.NewReader(body))
}

// readChunks decodes the aws-chunked encoding: "size;signature CRLF data CRLF"
// until a chunk of size 0. Signatures and trailers are not checked.
func readChunks(r *bufio.Reader) ([]byte, error) {
	var body bytes.Buffer
	for {
		size, err := readChunkSize(r)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			_, err := io.Copy(io.Discard, r)
			return body.Bytes(), errors.Wrap(err, "chunk trailer")
		}
		if _, err := io.CopyN(&body, r, size); err != nil {
			return nil, errors.Wrap(err, "chunk data")
		}
		if _, err := r.Discard(len("\r\n")); err != nil {
			return nil, errors.Wrap(err, "chunk end")
		}
	}
}

func readChunkSize(r *bufio.Reader) (int64, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, errors.Wrap(err, "chunk header")
	}
	digits, _, _ := strings.Cut(strings.TrimSpace(line), ";")
	size, err := strconv.ParseInt(digits, 16, 64)
	if err != nil || size < 0 || size > bodyLimit {
		return 0, errors.Errorf("chunk size %q", digits)
	}
	return size, nil
}
