package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/platform/platformtest"
)

const (
	engineService = "gose18b"
	engineSlots   = 12
	firstEngineIP = 11 // Last octet of the first engine's address.
)

// engineShape is the shape of the group of engines.
var engineShape = platformtest.Shape{Ranks: 4, Sets: 2, Experts: 16, Places: 6}

// engine is a model engine. It answers reports and orders as the project's stand-in does,
// and streams answers with answer.
type engine struct {
	platformtest.Server
	answer func(w http.ResponseWriter, r *http.Request, attempt string)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(header.AttemptID)
	if attempt == "" || r.Header.Get(header.ExpectInstance) != e.ID {
		e.Server.ServeHTTP(w, r) // An order or a report, or another engine's request.
		return
	}
	w.Header().Set(header.AttemptID, attempt)
	w.Header().Set(header.Stamp, e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	e.answer(w, r, attempt)
}

// engineConfiguration adds the engines and a resumable streaming route to them to a
// configuration.
func engineConfiguration(config map[string]any) map[string]any {
	config["routes"] = append(config["routes"].([]any), map[string]any{
		"name": "r-draft", "hostname": host, "prefix": "/lohu930/", "route_kind": "streaming", "timeout_ms": 8000, "slo_ms": 400, "priority": 1,
		"backend": engineService, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "itl_target_ms": 120,
	})
	config["services"] = append(config["services"].([]any), map[string]any{
		"name": engineService, "health_path": "/healthz", "max_conns": 328, "protocol": "h1", "warmup_s": 3, "warmup_per_s": 36,
		"engine": map[string]any{
			"slots": engineSlots, "kv_capacity": 494000, "link_mbps": 180000, "stride": 6, "step_ms": 4.84, "per_seq_ms": 0.362,
			"context_per_k": 0.011, "read_per_s": 74800, "pairs_per_m": 0.232, "chunk": 512, "usual": map[string]any{"prompt": 835, "answer": 159},
			"sets": engineShape.Sets, "experts": engineShape.Experts, "placements": engineShape.Places, "spare": 3, "expert_mb": 2200, "form_ms": 600,
		},
	})
	return config
}

const agentSettingsText = `node_name=%[1]s
role=agent
machine_class=side
serves=side
ip=%[2]s
zone=%[3]s
region=andina
zones.andina-bog=andina
internal_ports=7340,7355
bootstrap=true
limits.cpu_share=0.24
limits.cores=1
limits.memory_mb=152
limits.max_fds=2048
discovery=platform
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=90
bounds.warmup_overshoot=1.5
bounds.warmup_slack=5
app=%[2]s:%[4]d
backend=%[5]s
platform.address=%[6]s
platform.form=table
`

// startEngines starts the engines and the agents beside them, with the command of the
// deploy file.
func (t *trial) startEngines() error {
	group := platformtest.NewGroup(engineShape, 1)
	go group.Run(make(chan struct{}))
	for rank := range engineShape.Ranks {
		ip := fmt.Sprintf("%s.%d", t.network, firstEngineIP+rank)
		address := fmt.Sprintf("%s:%d", ip, serverPort)
		e := &engine{Server: platformtest.Server{ID: fmt.Sprintf("i-%08x", 0x5840f93b+rank), Slots: engineSlots, ExecutionLog: t.executions, Group: group, Rank: rank}}
		e.answer = func(w http.ResponseWriter, r *http.Request, attempt string) { t.answer(e.ID, w, r, attempt) }
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(listener, e) }()
		row := platformtest.ServerRow(engineService, address, zone, engineSlots, false)
		if err := t.put("servers", e.ID, row); err != nil {
			return err
		}
		go func() {
			for seq := 1; ; seq++ {
				time.Sleep(heartbeat)
				row["seq"] = seq
				_ = t.put("servers", e.ID, row)
			}
		}()
		if err := t.startAgent(rank, ip); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) startAgent(rank int, ip string) error {
	name := fmt.Sprintf("side-%s-%d", zone, 1+rank)
	path := filepath.Join(t.folder, name+".conf")
	text := fmt.Sprintf(agentSettingsText, name, ip, zone, serverPort, engineService, t.storeAddress())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	command := exec.Command("target/persimmonwind", "platform", "agent", "--metrics-port", fmt.Sprint(metricsPort))
	command.Env = []string{"PERSIMMONWIND_BOOT=" + path}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	t.processes = append(t.processes, command)
	return nil
}
