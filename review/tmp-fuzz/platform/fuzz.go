package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const entryMB = 284

var cases = map[string]func(f *fleet) bool{"fuzz": playFuzz}

type sentReq struct {
	method, target string
	body           []byte
	unsafe         bool
	tenant         string
	extra          string
}

type fz struct {
	f    *fleet
	mu   sync.Mutex
	sent map[string]*sentReq
	runs map[string][]string // attempt -> workers
	stat map[string]int      // attempt+worker -> status given
	bad  atomic.Int64
	cnt  map[string]int
}

func (z *fz) violation(format string, args ...any) {
	z.bad.Add(1)
	z.f.note("VIOLATION "+format, args...)
}

func bodyOf(attempt, worker string) []byte {
	h := sha256.Sum256([]byte(attempt + worker))
	n := int(h[0])*37 + int(h[1])
	if h[2] < 20 {
		n = 90000
	}
	return bytes.Repeat([]byte(fmt.Sprintf("%x%s%s|", h[:4], attempt, worker)), n/30+1)
}

func (z *fz) worker(id, address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("%v", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go z.serve(id, c.(*net.TCPConn))
		}
	}()
}

func (z *fz) serve(id string, c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var prev []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Duration(300+rand.IntN(3000)) * time.Millisecond))
		if _, err := r.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		q, err := http.ReadRequest(r)
		if err != nil {
			if !strings.Contains(err.Error(), "reset") && !strings.Contains(err.Error(), "EOF") {
				z.violation("worker %s can't parse a request: %v", id, err)
			}
			return
		}
		at := q.Header.Get(headerAttempt)
		z.mu.Lock()
		want := z.sent[at]
		z.mu.Unlock()
		if want == nil {
			z.violation("worker %s gets unknown attempt %q %s %s", id, at, q.Method, q.RequestURI)
			return
		}
		if q.Method != want.method || q.RequestURI != want.target || q.Header.Get(headerTenant) != want.tenant || q.Header.Get("Authorization") != "" || q.Header.Get("X-Extra") != want.extra || q.Header.Get(headerExpect) != id {
			z.violation("worker %s attempt %s: %s %s tenant %q extra %q expect %q, want %+v", id, at, q.Method, q.RequestURI, q.Header.Get(headerTenant), q.Header.Get("X-Extra"), q.Header.Get(headerExpect), want.target)
		}
		mode := rand.IntN(22)
		readBody := func() bool {
			got, err := io.ReadAll(q.Body)
			if err != nil {
				return false
			}
			if !bytes.Equal(got, want.body) {
				z.violation("worker %s attempt %s: body %d bytes, want %d", id, at, len(got), len(want.body))
			}
			return true
		}
		run := func() {
			z.mu.Lock()
			z.runs[at] = append(z.runs[at], id)
			if want.unsafe && len(z.runs[at]) > 1 {
				z.violation("attempt %s runs twice: %v", at, z.runs[at])
			}
			z.mu.Unlock()
		}
		give := func(status int) {
			z.mu.Lock()
			z.stat[at+id] = status
			z.mu.Unlock()
		}
		full := bodyOf(at, id)
		head := func(status int, extra string) string {
			give(status)
			return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: %s\r\n%s", status, headerAttempt, at, headerStamp, id, extra)
		}
		cl := func(status int) []byte {
			return append([]byte(head(status, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(full)))), full...)
		}
		chunked := func(cut int) []byte {
			var b bytes.Buffer
			b.WriteString(head(200, "Transfer-Encoding: chunked\r\n\r\n"))
			rest := full
			for len(rest) > 0 {
				n := min(len(rest), 1+rand.IntN(3000))
				fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			b.WriteString("0\r\n\r\n")
			if cut > 0 {
				return b.Bytes()[:max(1, b.Len()-cut)]
			}
			return b.Bytes()
		}
		rst := func() { _ = c.SetLinger(0) }
		early := mode == 15 || mode == 16
		if !early && !readBody() {
			return
		}
		switch mode {
		default: // sound
			run()
			time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			b := cl(200)
			_, _ = c.Write(b)
			prev = b
		case 1:
			run()
			b := chunked(0)
			_, _ = c.Write(b)
			prev = b
		case 2: // no length, ends with the connection
			run()
			_, _ = c.Write(append([]byte(head(200, "\r\n")), full...))
			return
		case 3: // truncated
			run()
			b := cl(200)
			_, _ = c.Write(b[:len(b)-1-rand.IntN(len(full))])
			return
		case 4:
			run()
			_, _ = c.Write(chunked(1 + rand.IntN(len(full))))
			return
		case 5: // no length, reset
			run()
			b := append([]byte(head(200, "\r\n")), full...)
			_, _ = c.Write(b[:len(b)-1-rand.IntN(len(full))])
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			rst()
			return
		case 6:
			run()
			_, _ = c.Write([]byte("HTP/1.1 what\r\nno: answer\r\n\r\n"))
			return
		case 7: // additional bytes
			run()
			_, _ = c.Write(append(cl(200), []byte("additional bytes\r\n\r\n")...))
		case 8: // additional bytes late
			run()
			b := cl(200)
			_, _ = c.Write(b)
			time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			_, _ = c.Write([]byte("additional"))
		case 9: // second answer
			run()
			b := cl(200)
			_, _ = c.Write(b)
			time.Sleep(time.Duration(rand.IntN(2)*rand.IntN(40)) * time.Millisecond)
			_, _ = c.Write(b)
			prev = b
		case 10: // earlier answer first
			run()
			if prev != nil {
				_, _ = c.Write(prev)
			}
			b := cl(200)
			_, _ = c.Write(b)
			prev = b
		case 11:
			_, _ = c.Write([]byte(fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerAttempt, at, headerNotExecuted)))
		case 12:
			run()
			_, _ = c.Write(cl(500))
		case 13:
			run()
			_, _ = c.Write([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"))
			_, _ = c.Write(cl(200))
		case 14:
			run()
			rst()
			return
		case 15: // early rejection, reads on
			_, _ = c.Write([]byte(fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerAttempt, at, headerNotExecuted)))
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			if !readBody() {
				return
			}
		case 16: // early answer, reads on
			run()
			_, _ = c.Write(cl(200))
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			if !readBody() {
				return
			}
		case 17:
			run()
			_, _ = c.Write(append([]byte(head(200, fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", len(full)))), full...))
			return
		case 18: // hang
			run()
			time.Sleep(2 * time.Second)
			return
		}
	}
}

func playFuzz(f *fleet) bool {
	z := &fz{f: f, sent: map[string]*sentReq{}, runs: map[string][]string{}, stat: map[string]int{}, cnt: map[string]int{}}
	s := newStore()
	f.listen(fmt.Sprintf("%s:%d", f.ip(2), storePort), s)
	lr := route("r-look", "/look/", "idempotent", "plain", 2)
	br := route("r-book", "/book/", "non_idempotent", "plain", 1)
	s.put("op", "config", map[string]any{"version": 7, "routes": []any{lr, br}, "services": []any{plainService("plain")}, "limits": limits(),
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{"k1"}}, map[string]any{"name": "t2", "api_keys": []string{"k2"}}}})
	for i := range 6 {
		id := fmt.Sprintf("i-%d", i)
		a := fmt.Sprintf("%s:%d", f.ip(21+i), workerPort)
		z.worker(id, a)
		s.put("servers", id, map[string]any{"backend": "plain", "address": a, "zone": zoneOf(i), "version": "v1", "slots": 30, "state": "ready", "warmup_left_ms": 0, "seq": 0, "born": time.Now().UnixMilli()})
	}
	entries := []string{f.ip(41), f.ip(42)}
	for i, ip := range entries {
		f.start("entry", machine{name: fmt.Sprintf("edge-%d", i+1), class: "edge", zone: zoneOf(i), ip: ip, store: fmt.Sprintf("%s:%d", f.ip(2), storePort), memoryMB: entryMB})
		f.awaitReady(ip)
	}
	end := time.Now().Add(60 * time.Second)
	var wg sync.WaitGroup
	for c := range 60 {
		wg.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for n := 0; time.Now().Before(end); n++ {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", net.JoinHostPort(entries[c%2], strconv.Itoa(frontPort))); err != nil {
						conn = nil
						time.Sleep(50 * time.Millisecond)
						continue
					}
					reader = bufio.NewReader(conn)
				}
				at := fmt.Sprintf("%d-%d", c, n)
				q := &sentReq{method: "POST", target: fmt.Sprintf("/look/%s?a=%%2F&b=%d;c", at, n), tenant: "t1", extra: at}
				key := "k1"
				if rand.IntN(2) == 0 {
					q.tenant, key = "t2", "k2"
				}
				if rand.IntN(2) == 0 {
					q.unsafe = true
					q.target = "/book//" + at + "/../x%41"
				} else if rand.IntN(2) == 0 {
					q.method = "GET"
				}
				if q.method == "POST" {
					size := rand.IntN(2000)
					if rand.IntN(4) == 0 {
						size = rand.IntN(400000)
					}
					q.body = bytes.Repeat([]byte(at+","), size/(len(at)+1)+1)[:size]
				}
				z.mu.Lock()
				z.sent[at] = q
				z.mu.Unlock()
				var b bytes.Buffer
				fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\nAuthorization: Token %s\r\nX-Extra: %s\r\n%s: forged\r\n%s: i-9\r\n", q.method, q.target, routeHost, headerAttempt, at, headerDeadline, key, at, headerTenant, headerExpect)
				if q.method == "POST" && rand.IntN(2) == 0 {
					b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
					rest := q.body
					for len(rest) > 0 {
						k := min(len(rest), 1+rand.IntN(20000))
						fmt.Fprintf(&b, "%x\r\n%s\r\n", k, rest[:k])
						rest = rest[k:]
					}
					b.WriteString("0\r\n\r\n")
				} else if q.method == "POST" {
					fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
				} else {
					b.WriteString("\r\n")
				}
				_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
				_, err := conn.Write(b.Bytes())
				if rand.IntN(30) == 0 { // The client leaves.
					time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
					_ = conn.Close()
					conn = nil
					continue
				}
				outcome := "cut"
				var response *http.Response
				if err == nil {
					response, err = http.ReadResponse(reader, &http.Request{Method: q.method})
				}
				var got []byte
				if err == nil {
					got, err = io.ReadAll(response.Body)
				}
				if err != nil {
					z.f.note("%s: %v", at, err)
				} else {
					outcome = strconv.Itoa(response.StatusCode)
					stamp := response.Header.Get(headerStamp)
					if response.Header.Get(headerAttempt) != at {
						z.violation("client %s gets attempt %q", at, response.Header.Get(headerAttempt))
					}
					if response.StatusCode < 300 && !bytes.Equal(got, bodyOf(at, stamp)) {
						z.violation("client %s gets %d with %d bytes, stamp %q", at, response.StatusCode, len(got), stamp)
					}
					z.mu.Lock()
					ran, given := z.runs[at], z.stat[at+stamp]
					z.mu.Unlock()
					if stamp != "" && given != response.StatusCode {
						z.violation("client %s gets status %d of %s that gave %d", at, response.StatusCode, stamp, given)
					}
					if q.unsafe && len(ran) > 0 && (response.StatusCode == 503 || response.StatusCode == 429 || response.StatusCode == 408 || response.StatusCode == 421) {
						z.violation("client %s is refused with %d and has run %v", at, response.StatusCode, ran)
					}
					if reader.Buffered() > 0 {
						z.violation("client %s: bytes after the answer", at)
					}
				}
				z.mu.Lock()
				z.cnt[outcome]++
				z.mu.Unlock()
				if err != nil || response.Close || rand.IntN(20) == 0 {
					_ = conn.Close()
					conn = nil
				}
				time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	f.note("outcomes %v, violations %d", z.cnt, z.bad.Load())
	return z.bad.Load() > 0
}
