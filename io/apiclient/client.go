package apiclient

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"mime/multipart"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/http1"
	"tarragonwalk/io/openai"
)

const (
	requestTimeout = 60 * time.Second
	// maxResponseBytes bounds a response; the results of the largest job are read in one response.
	maxResponseBytes = 1 << 30
)

// Client calls one entry instance and authenticates with one key.
type Client struct {
	base    string
	key     string
	http    *fasthttp.Client
	streams *fasthttp.Client
}

// New returns a client for a base URL such as https://127.0.0.1:8080.
func New(base, key string) *Client {
	c := &Client{
		base: base,
		key:  key,
		http: &fasthttp.Client{
			Name:                "tarragonwalk",
			ReadTimeout:         requestTimeout,
			WriteTimeout:        requestTimeout,
			MaxResponseBodySize: maxResponseBytes,
		},
		streams: &fasthttp.Client{
			Name:               "tarragonwalk",
			ReadTimeout:        requestTimeout,
			WriteTimeout:       requestTimeout,
			StreamResponseBody: true,
		},
	}
	if strings.HasPrefix(base, "http://") {
		c.http.Dial, c.streams.Dial = dial, dial
	}

	return c
}

// dial opens a connection on which only answers are read.
func dial(address string) (net.Conn, error) {
	c, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err //nolint:wrapcheck // it stands in for the library's function
	}

	return http1.New(c), nil
}

// TrustRoots makes the client verify server certificates against roots instead of the system's roots. It must be called before
// the first request.
func (c *Client) TrustRoots(roots *x509.CertPool) {
	for _, h := range []*fasthttp.Client{c.http, c.streams} {
		h.TLSConfig = &tls.Config{
			MinVersion: tls.VersionTLS12,
			RootCAs:    roots,
		}
	}
}

// Get returns the response body of a path; an error response of the API is returned as a fault.
func (c *Client) Get(path string) ([]byte, error) {
	return c.send(fasthttp.MethodGet, path, "", nil, nil)
}

// Post sends a JSON body with additional headers and returns the response body.
func (c *Client) Post(path string, body []byte, header map[string]string) ([]byte, error) {
	return c.send(fasthttp.MethodPost, path, "application/json", body, header)
}

// Upload sends a batch input file and returns its description.
func (c *Client) Upload(name string, content []byte) (*openai.FileObject, error) {
	buffer := &bytes.Buffer{}
	w := multipart.NewWriter(buffer)
	if err := w.WriteField("purpose", "batch"); err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "cannot encode the upload")
	}
	part, err := w.CreateFormFile("file", name)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "cannot encode the upload")
	}
	if _, err := part.Write(content); err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "cannot encode the upload")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "cannot encode the upload")
	}
	answer, err := c.send(fasthttp.MethodPost, "/v1/files", w.FormDataContentType(), buffer.Bytes(), nil)
	if err != nil {
		return nil, err
	}
	f := &openai.FileObject{}

	return f, Decode(answer, f)
}

// Decode decodes a response body into v.
func Decode(answer []byte, v any) error {
	if err := json.Unmarshal(answer, v); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot decode the response from the instance")
	}

	return nil
}

// Path appends path elements to prefix and escapes them.
func Path(prefix string, elements ...string) string {
	for _, e := range elements {
		prefix += "/" + url.PathEscape(e)
	}

	return prefix
}

func (c *Client) send(method, path, contentType string, body []byte, header map[string]string) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.base + path)
	request.Header.Set("Authorization", "Bearer "+c.key)
	if contentType != "" {
		request.Header.SetContentType(contentType)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	if err := c.http.DoDeadline(request, response, time.Now().Add(requestTimeout)); err != nil {
		return nil, fault.Wrap(err, fault.CodeUnavailable, "cannot reach "+c.base)
	}
	answer := append([]byte{}, response.Body()...)
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return nil, decodeError(response, answer)
	}

	return answer, nil
}

func decodeError(response *fasthttp.Response, answer []byte) error {
	body := openai.ErrorBody{}
	if err := json.Unmarshal(answer, &body); err != nil {
		return fault.New(fault.CodeInternal, "the instance responded with status "+strconv.Itoa(response.StatusCode()))
	}
	f := fault.New(fault.Code(body.Error.Code), body.Error.Message)
	f.Param = body.Error.Param
	if seconds, err := strconv.Atoi(string(response.Header.Peek("Retry-After"))); err == nil {
		f.RetryAt = time.Now().Add(time.Duration(seconds) * time.Second)
	}

	return f
}
