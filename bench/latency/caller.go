package latency

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// body of each request.
const body = `{"amount":5}`

// retryEvery is the pause between tries while the path comes up.
const retryEvery = 20 * time.Millisecond

// caller calls the backend server directly and through the path, with kept
// connections.
type caller struct {
	http   *http.Client
	direct string
	via    string
}

func newCaller(p *path, conns int) *caller {
	tr := &http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true}
	return &caller{
		http:   &http.Client{Transport: tr, Timeout: 10 * time.Second},
		direct: "http://" + p.backend.Addr + "/receipts",
		via:    "http://" + p.router.Addr + "/services/" + service + "/receipts",
	}
}

// call sends one request and returns the time to the end of its answer.
func (c *caller) call(ctx context.Context, url string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	took := time.Since(began)
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("%s answered %d", url, resp.StatusCode)
	}
	return took, nil
}

// ready calls through the path until it answers.
func (c *caller) ready(ctx context.Context) error {
	for {
		_, err := c.call(ctx, c.via)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(err, ctx.Err())
		case <-time.After(retryEvery):
		}
	}
}
