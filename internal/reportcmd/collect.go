package reportcmd

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/burn"
	"github.com/pkg/errors"
)

const (
	// fileTime is the layout of the time in a sample file's name, in UTC.
	fileTime = "20060102T150405Z"
	// fileExtension is the extension of sample files.
	fileExtension = ".prom"
	// maxSampleBytes is the maximum size of one sample.
	maxSampleBytes = 64 << 20
)

// filePattern splits a sample file's name into the source and the time.
var filePattern = regexp.MustCompile(`^(?:(.*)-)?(\d{8}T\d{6}Z)\.prom$`)

func isURL(source string) bool {
	return strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://")
}

// readFiles adds the sample file at path, or all sample files of the directory at
// path, to h.
func readFiles(h *burn.History, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "samples")
	}
	if !info.IsDir() {
		return readFile(h, path)
	}
	paths, err := filepath.Glob(filepath.Join(path, "*"+fileExtension))
	if err != nil {
		return errors.Wrap(err, "samples")
	}
	if len(paths) == 0 {
		return errors.Errorf("no %s file in %s", fileExtension, path)
	}
	for _, p := range paths {
		if err := readFile(h, p); err != nil {
			return err
		}
	}
	return nil
}

func readFile(h *burn.History, path string) error {
	name, at, err := parseFileName(filepath.Base(path))
	if err != nil {
		return err
	}
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "samples")
	}
	defer f.Close()
	s, err := burn.Parse(name, at, io.LimitReader(f, maxSampleBytes))
	if err != nil {
		return errors.Wrap(err, path)
	}
	h.Add(s)
	return nil
}

func parseFileName(name string) (source string, at time.Time, err error) {
	m := filePattern.FindStringSubmatch(name)
	if m == nil {
		return "", time.Time{}, errors.Errorf("%s: want a name such as vm-1-%s%s", name, fileTime, fileExtension)
	}
	at, err = time.Parse(fileTime, m[2])
	if err != nil {
		return "", time.Time{}, errors.Wrapf(err, "%s", name)
	}
	return m[1], at, nil
}

// poller reads the metrics of proxies over HTTP.
type poller struct {
	client *http.Client
	now    func() time.Time
	// wait returns after the duration, or with an error once the context is done.
	wait func(context.Context, time.Duration) error
	// saveTo is the directory for sample files; if it is empty, none are written.
	saveTo string
	stderr io.Writer
}

// poll takes the given number of samples of all sources, at intervals of every. A
// source that can't be read is reported to stderr and left out of that sample.
func (p poller) poll(ctx context.Context, h *burn.History, sources []string, every time.Duration, samples int) error {
	for i := range samples {
		if i > 0 {
			if err := p.wait(ctx, every); err != nil {
				return err
			}
		}
		at := p.now()
		for _, source := range sources {
			if err := p.sample(ctx, h, source, at); err != nil {
				_, _ = io.WriteString(p.stderr, err.Error()+"\n")
			}
		}
	}
	return nil
}

func (p poller) sample(ctx context.Context, h *burn.History, source string, at time.Time) error {
	body, err := p.fetch(ctx, source)
	if err != nil {
		return err
	}
	s, err := burn.Parse(source, at, bytes.NewReader(body))
	if err != nil {
		return err
	}
	h.Add(s)
	return p.save(source, at, body)
}

func (p poller) fetch(ctx context.Context, source string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: HTTP %d", source, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxSampleBytes))
	return body, errors.Wrap(err, source)
}

func (p poller) save(source string, at time.Time, body []byte) error {
	if p.saveTo == "" {
		return nil
	}
	const dirMode, mode = 0o755, 0o644
	if err := os.MkdirAll(p.saveTo, dirMode); err != nil {
		return errors.Wrap(err, "directory of samples")
	}
	name := fileSource(source) + "-" + at.UTC().Format(fileTime) + fileExtension
	return errors.Wrap(os.WriteFile(filepath.Join(p.saveTo, name), body, mode), "save sample")
}

// fileSource converts the host of a URL to a part of a file name.
func fileSource(source string) string {
	u, err := url.Parse(source)
	if err != nil {
		return "unknown"
	}
	return strings.ReplaceAll(u.Host, ":", "-")
}
