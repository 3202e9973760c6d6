package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"persimmonwind.dev/platform/platformtest"
)

const entryMB = 284

var cases = map[string]func(f *fleet) bool{"fuzz": playFuzz}

func playFuzz(f *fleet) bool {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	rnd := rand.New(rand.NewPCG(uint64(seed), 7))
	s := newStore()
	shape := platformtest.Shape{Ranks: 8, Sets: 2, Experts: 32, Places: 6}
	grp := platformtest.NewGroup(shape, uint64(seed))
	log := platformtest.NewExecutionLog()
	config := platformtest.Configuration(1, shape, false)
	if seed%2 == 0 {
		platformtest.AddClasses(config)
	}
	s.put("op", "config", config)
	var links []*link
	for i := range 8 {
		id := fmt.Sprintf("i-%d", i)
		a := fmt.Sprintf("%s:%d", f.ip(21+i), workerPort)
		f.listen(a, &platformtest.Server{ID: id, Slots: 12, ExecutionLog: log, Group: grp, Rank: i})
		s.put("servers", id, map[string]any{"backend": platformtest.EngineService, "address": a, "zone": zoneOf(i), "version": "v1", "slots": 12, "state": "ready", "warmup_left_ms": 0, "seq": 0, "born": time.Now().UnixMilli()})
	}
	f.listen(fmt.Sprintf("%s:%d", f.ip(2), storePort), s)
	stop := make(chan struct{})
	go grp.Run(stop)
	for i := range 2 {
		ip := f.ip(41 + i)
		f.start("entry", machine{name: fmt.Sprintf("edge-%d", i+1), class: "edge", zone: zoneOf(i), ip: ip, store: fmt.Sprintf("%s:%d", f.ip(2), storePort), memoryMB: entryMB})
		f.awaitReady(ip)
	}
	var agents []*process
	for i := range 8 {
		l := f.newLink(fmt.Sprintf("%s:%d", f.ip(61+i), storePort), fmt.Sprintf("%s:%d", f.ip(2), storePort))
		links = append(links, l)
		agents = append(agents, f.start("agent", machine{name: fmt.Sprintf("side-%d", i+1), class: "side", zone: zoneOf(i), ip: f.ip(21 + i), store: fmt.Sprintf("%s:%d", f.ip(61+i), storePort), memoryMB: 152, app: fmt.Sprintf("%s:%d", f.ip(21+i), workerPort), backend: platformtest.EngineService}))
	}
	var wg sync.WaitGroup
	bad := false
	client := &http.Client{Timeout: 5 * time.Second}
	served := 0
	request := func(n int) bool {
		r, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d/stream/x", f.ip(41+n%2), frontPort), nil)
		r.Host = "soak.example"
		r.Header.Set(headerAttempt, fmt.Sprintf("a-%d-%d", seed, n))
		r.Header.Set(headerDeadline, "4000")
		response, err := client.Do(r)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == 200
	}
	var mu sync.Mutex
	go func() {
		for n := 0; ; n++ {
			time.Sleep(50 * time.Millisecond)
			go func() {
				if request(n) {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}()
		}
	}()
	for round := range 5 {
		end := time.Now().Add(10 * time.Second)
		if rnd.IntN(2) == 0 {
			grp.DelayOrders(0.35)
		}
		for time.Now().Before(end) {
			time.Sleep(time.Duration(50+rnd.IntN(1200)) * time.Millisecond)
			i := rnd.IntN(8)
			switch k := rnd.IntN(6); k {
			case 0:
				f.note("kill agent %d", i)
				wg.Go(func() {
					agents[i].signal(syscall.SIGKILL)
					<-agents[i].ended
					time.Sleep(time.Duration(200+i*200) * time.Millisecond)
					f.run(agents[i])
				})
				wg.Wait()
			case 1, 2:
				f.note("freeze agent %d", i)
				d := time.Duration(300+rnd.IntN(3500)) * time.Millisecond
				wg.Go(func() {
					agents[i].signal(syscall.SIGSTOP)
					time.Sleep(d)
					agents[i].signal(syscall.SIGCONT)
				})
			case 3:
				f.note("new epoch")
				grp.StartEpoch()
			case 4:
				f.note("all cut from store")
				for _, l := range links {
					l.setCut(true)
				}
				d := time.Duration(500+rnd.IntN(4000)) * time.Millisecond
				wg.Go(func() {
					time.Sleep(d)
					for _, l := range links {
						l.setCut(false)
					}
				})
			case 5:
				wg.Wait()
			}
		}
		wg.Wait()
		grp.DelayOrders(0)
		time.Sleep(4 * time.Second)
		v0, p0 := grp.Version()
		mu.Lock()
		s0 := served
		mu.Unlock()
		time.Sleep(4 * time.Second)
		v1, p1 := grp.Version()
		mu.Lock()
		s1 := served
		mu.Unlock()
		f.note("round %d: version %d to %d, pass %d to %d, served %d; violations %v", round, v0, v1, p0, p1, s1-s0, grp.Violations())
		if p1-p0 < 50 || s1-s0 < 40 || len(grp.Violations()) > 0 {
			bad = true
		}
	}
	return bad
}
