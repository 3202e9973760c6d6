package main

import (
	"fmt"
	"net"
	"time"
)

const (
	crashWait      = 10 * time.Second        // How long a server waits until it works for enough entries at once.
	afterCrash     = 6 * time.Second         // From the crash until the connections are lost.
	changeLead     = 1500 * time.Millisecond // From the change before that to the loss.
	changeDelay    = 700 * time.Millisecond  // From the loss to the change of the key.
	resetLength    = 500 * time.Millisecond  // Added to contactTime, so that the check is no stricter than the bench's.
	watchAfterLoss = 8 * time.Second
	slowInterval   = 40 * time.Millisecond
)

// playSilentConnections lets a server crash and, some seconds later, all open connections to
// the store go silent while new ones work; then a key is replaced.
func playSilentConnections(t *trial, trouble bool) (broken, checked int, err error) {
	p := &proxy{target: t.storeAddress(), connections: map[*connection]bool{}}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", t.network, proxyPort))
	if err != nil {
		return 0, 0, err
	}
	go p.serve(listener)
	if err := t.start(listener.Addr().String()); err != nil {
		return 0, 0, err
	}
	time.Sleep(contactTime)
	finished := t.callAll(slowInterval, time.Now().Add(crashWait+afterCrash+watchAfterLoss))
	t.logf("%d entries have %d connections to the store", entryCount, p.open())
	if trouble {
		t.crashUnderLoad()
	}
	time.Sleep(afterCrash)
	if err := t.putConfiguration(9, oldKey); err != nil {
		return 0, 0, err
	}
	t.logf("version 9 was acknowledged; nothing changes for callers")
	time.Sleep(changeLead)
	t.logf("%d entries have %d connections to the store", entryCount, p.open())
	lost := time.Now()
	if trouble {
		p.silenceAll()
		t.logf("all open connections to the store are silent from now on; new ones work")
	}
	time.Sleep(changeDelay)
	acknowledged, err := t.changeKey()
	if err != nil {
		return 0, 0, err
	}
	<-finished
	bound := acknowledged.Add(configApply)
	if inTouch := lost.Add(resetLength + contactTime); trouble && inTouch.After(bound) {
		bound = inTouch
	}
	broken, checked = t.checkRefusals(bound)
	return broken, checked, nil
}

// crashUnderLoad ends the first server as soon as it works for most entries at once, or at
// the end of crashWait.
func (t *trial) crashUnderLoad() {
	s := t.servers[0]
	for end := time.Now().Add(crashWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s.workingFor() >= entryCount-1 {
			break
		}
	}
	t.logf("server %s crashes while it works for %d entries", s.ID, s.workingFor())
	s.crash()
}
