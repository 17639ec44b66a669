package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"limpetrail/deployer"
	"limpetrail/emulator"
)

func init() { cases["stress"] = playStress }

// engine is a model replica: the output of an item follows from its ID and its path.
type engine struct {
	id       string
	mutex    sync.Mutex
	running  int
	random   *rand.Rand
	breakP   float64
	failP    float64
	eventGap time.Duration
	runs     map[string]int
}

func eventText(id string, number, size int) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%s/%d", id, number)))
	unit := fmt.Sprintf("%s<&>ä%x ", id, sum[:6])

	return strings.Repeat(unit, size/len(unit)+1)
}

func wholeOutput(id string, count, size int) string {
	texts := []string{}
	for number := range count {
		texts = append(texts, eventText(id, number, size))
	}

	return strings.Join(texts, "\n")
}

func (engine *engine) draw() float64 {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()

	return engine.random.Float64()
}

func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	headers := emulator.PlatformEventHeaders()
	id := request.Header.Get(headers.RequestID)
	writer.Header().Set(headers.RequestID, id)
	writer.Header().Set(headers.ServerID, engine.id)

	if request.URL.Path == "/limpetrail/report" {
		fmt.Fprint(writer, `{"stage":"any","born":1}`)

		return
	}

	if expected := request.Header.Get(headers.ExpectedServer); expected != "" && expected != engine.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if request.Method == http.MethodGet {
		return
	}

	engine.mutex.Lock()
	if engine.running >= 8 {
		engine.mutex.Unlock()
		writer.Header().Set(headers.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	engine.running++
	engine.runs[id]++
	engine.mutex.Unlock()

	defer func() { engine.mutex.Lock(); engine.running--; engine.mutex.Unlock() }()

	writer.Header().Set(headers.Stamp, engine.id)

	if engine.draw() < engine.failP {
		writer.WriteHeader(http.StatusInternalServerError)

		return
	}

	count, _ := strconv.Atoi(request.URL.Query().Get("events"))
	size, _ := strconv.Atoi(request.URL.Query().Get("bytes"))
	after := -1
	if number, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		after = number
	}

	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	time.Sleep(20 * time.Millisecond)

	breakAt := -1
	if engine.draw() < engine.breakP {
		breakAt = after + 1 + int(engine.draw()*float64(max(1, count-after-1)))
	}

	for number := after + 1; number < count; number++ {
		if number == breakAt {
			fmt.Fprintf(writer, "id: %d\ndata: %s", number, eventText(id, number, size)[:3])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}

		fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, eventText(id, number, size))

		if control.Flush() != nil {
			return
		}

		select {
		case <-time.After(engine.eventGap):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

type stressJob struct {
	id       string
	count    map[string]int
	size     map[string]int
	accepted bool
	ended    bool
	// listed holds what was read at each position.
	listed []string
}

func playStress(ctx context.Context, record *record, trouble bool) int {
	seed := int64(envInt("SEED", 1))
	random := rand.New(rand.NewSource(seed))
	fleet, err := newFleet(ctx, record, memoryConfiguration)
	if err != nil {
		return cannotRun
	}
	defer fleet.end()

	for number := range 4 {
		server := &engine{id: fmt.Sprintf("i-%d", number), random: rand.New(rand.NewSource(seed + int64(number))), breakP: 0.15, failP: 0.01, eventGap: 4 * time.Millisecond, runs: map[string]int{}}
		address, err := serve(ctx, server)
		if err != nil {
			return cannotRun
		}
		fleet.addServer(server.id, "model", address, 8)
	}

	if fleet.prepare(ctx, 3, 3, 284, 304) != nil || fleet.startAll() != nil {
		return cannotRun
	}
	time.Sleep(2 * time.Second)

	result, mutex := held, sync.Mutex{}
	fail := func(format string, arguments ...any) {
		mutex.Lock()
		defer mutex.Unlock()
		result = broken
		record.log("BROKEN "+format, arguments...)
	}

	jobs := []*stressJob{}
	stop := make(chan struct{})
	group := sync.WaitGroup{}
	anyGateway := func() *process { mutex.Lock(); defer mutex.Unlock(); return fleet.gateways[random.Intn(len(fleet.gateways))] }
	draw := func(n int) int { mutex.Lock(); defer mutex.Unlock(); return random.Intn(n) }

	read := func(job *stressJob, gateway *process, after int) {
		status, content, err := fleet.call(ctx, gateway, http.MethodGet, fmt.Sprintf("/limpetrail/lots/%s?after=%d", url.PathEscape(job.id), after), "", nil)
		if err != nil || status != 200 {
			if status == 404 {
				record.log("%s: 404 for %s", gateway.name, job.id)
			}
			return
		}
		page := struct {
			Total, Next int
			Results     []struct{ ID, State, Output string }
		}{}
		if err := json.Unmarshal(content, &page); err != nil {
			fail("MIXED %s: %v", job.id, err)
			return
		}
		if page.Total != len(job.count) {
			fail("MIXED %s: total %d of %d at %s", job.id, page.Total, len(job.count), gateway.name)
		}
		mutex.Lock()
		defer mutex.Unlock()
		for index, listed := range page.Results {
			position := after + index
			sum := sha256.Sum256([]byte(listed.State + listed.Output))
			entry := fmt.Sprintf("%s %s %x", listed.ID, listed.State, sum[:8])
			for len(job.listed) <= position {
				job.listed = append(job.listed, "")
			}
			if job.listed[position] != "" && job.listed[position] != entry {
				result = broken
				record.log("BROKEN TWICE %s position %d: %s, before %s", job.id, position, entry, job.listed[position])
			}
			if job.listed[position] == "" {
				job.listed[position] = entry
				if job.count[listed.ID] == 0 {
					result = broken
					record.log("BROKEN MIXED %s: item %s", job.id, listed.ID)
				}
				if listed.State == "completed" && listed.Output != wholeOutput(listed.ID, job.count[listed.ID], job.size[listed.ID]) {
					result = broken
					record.log("BROKEN MIXED %s: output of %s, %d bytes", job.id, listed.ID, len(listed.Output))
				}
				if listed.State != "completed" {
					record.log("%s: %s is %s", job.id, listed.ID, listed.State)
				}
			}
		}
	}

	submit := func(number int) {
		job := &stressJob{id: fmt.Sprintf("job %d/é-%d", seed, number), count: map[string]int{}, size: map[string]int{}}
		if draw(2) == 0 {
			job.id = fmt.Sprintf("job%d-%d", seed, number)
		}
		items := []lotItem{}
		total := []int{10, 200, 40, 3}[draw(4)]
		for index := range total {
			id := fmt.Sprintf("%d.%d.%d", seed, number, index)
			count, size := 20+draw(60), 40+draw(60)
			switch {
			case total == 3:
				count, size = 60, 9000+draw(9000)
			case total == 200:
				count = 5 + draw(20)
			}
			job.count[id], job.size[id] = count, size
			items = append(items, lotItem{ID: id, Path: fmt.Sprintf("/batch/x?events=%d&bytes=%d", count, size), Headers: map[string]string{"X-Limpetrail-Model": "m", "X-Limpetrail-Prompt-Prefix": fmt.Sprintf("5c1e:100,%x:250", index)}, Body: make([]byte, draw(15000)), Tokens: 900})
		}
		body := lotBody(items)
		mutex.Lock()
		jobs = append(jobs, job)
		mutex.Unlock()
		for range 12 {
			gateway := anyGateway()
			status, _, err := fleet.call(ctx, gateway, http.MethodPost, "/batch/lot", job.id, body)
			record.log("%s of %d items to %s: %d %v", job.id, len(items), gateway.name, status, err)
			if status == 202 {
				mutex.Lock()
				job.accepted = true
				mutex.Unlock()
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	}

	load := time.Duration(envInt("LOAD_S", 45)) * time.Second
	begin := time.Now()
	group.Go(func() {
		for number := 0; time.Since(begin) < load; number++ {
			go submit(number)
			time.Sleep(time.Duration(800+draw(1500)) * time.Millisecond)
		}
	})
	for range 4 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				mutex.Lock()
				if len(jobs) == 0 {
					mutex.Unlock()
					continue
				}
				job := jobs[random.Intn(len(jobs))]
				after := 0
				if len(job.listed) > 0 {
					after = random.Intn(len(job.listed) + 1)
				}
				accepted := job.accepted
				mutex.Unlock()
				if accepted {
					read(job, anyGateway(), after)
				}
			}
		})
	}
	// Faults
	if trouble {
		group.Go(func() {
			for time.Since(begin) < load {
				time.Sleep(time.Duration(500+draw(2500)) * time.Millisecond)
				victim := anyGateway()
				switch draw(9) {
				case 0:
					record.log("kill %s", victim.name)
					victim.signal(syscall.SIGKILL)
				case 1:
					record.log("term %s", victim.name)
					victim.signal(syscall.SIGTERM)
				case 2:
					record.log("freeze %s", victim.name)
					victim.signal(syscall.SIGSTOP)
					go func() { time.Sleep(time.Duration(1000+draw(4000)) * time.Millisecond); victim.signal(syscall.SIGCONT) }()
				case 3:
					record.log("store answers of %s are lost", victim.name)
					victim.link.SetFaults(deployer.LinkFaults{DropFromTarget: true})
					go func() { time.Sleep(time.Duration(500+draw(4000)) * time.Millisecond); victim.link.SetFaults(deployer.LinkFaults{}) }()
				case 4:
					record.log("store away")
					fleet.store.Catalog.Faults.Set(emulator.FaultSwitches{Silent: true})
					time.Sleep(time.Duration(500+draw(4000)) * time.Millisecond)
					fleet.store.Catalog.Faults.Set(emulator.FaultSwitches{})
					record.log("store back")
				case 5:
					record.log("store loses answers, late")
					fleet.store.Catalog.DroppedAnswerDelay = time.Duration(1000+draw(3000)) * time.Millisecond
					fleet.store.Catalog.Faults.Set(emulator.FaultSwitches{DropAnswers: 1 + draw(10)})
				case 6:
					holder := fleet.holders[draw(3)]
					record.log("kill %s", holder.name)
					holder.signal(syscall.SIGKILL)
				case 7:
					record.log("compaction")
					fleet.store.Catalog.Compact()
				case 8:
					record.log("store slow")
					fleet.store.Catalog.Faults.Set(emulator.FaultSwitches{Delay: 240 * time.Millisecond})
					time.Sleep(2 * time.Second)
					fleet.store.Catalog.Faults.Set(emulator.FaultSwitches{})
				}
			}
			fleet.store.Catalog.Faults.Set(emulator.FaultSwitches{})
			for _, gateway := range fleet.gateways {
				gateway.link.SetFaults(deployer.LinkFaults{})
				gateway.signal(syscall.SIGCONT)
			}
		})
	}
	// Restarts
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for _, watched := range append(append([]*process{}, fleet.gateways...), fleet.holders...) {
				if watched.hasEnded() {
					time.Sleep(300 * time.Millisecond)
					_ = fleet.start(watched)
				}
			}
		}
	}()

	time.Sleep(load)
	done := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		for _, job := range jobs {
			if !job.accepted {
				continue
			}
			if len(job.listed) < len(job.count) {
				return false
			}
			for _, entry := range job.listed {
				if entry == "" {
					return false
				}
			}
		}
		return true
	}
	for until := time.Now().Add(time.Duration(envInt("FINISH_S", 40)) * time.Second); time.Now().Before(until) && !done(); {
		mutex.Lock()
		pending := append([]*stressJob{}, jobs...)
		mutex.Unlock()
		for _, job := range pending {
			mutex.Lock()
			after := 0
			for after < len(job.listed) && job.listed[after] != "" {
				after++
			}
			complete := after >= len(job.count) || !job.accepted
			mutex.Unlock()
			if !complete {
				read(job, anyGateway(), after)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	for _, job := range jobs {
		seen := map[string]bool{}
		for position, entry := range job.listed {
			id, _, _ := strings.Cut(entry, " ")
			if entry != "" && seen[id] {
				fail("TWICE %s: item %s again at %d", job.id, id, position)
			}
			seen[id] = entry != ""
		}
		if job.accepted && (len(job.listed) < len(job.count)) {
			fail("LOST %s: %d of %d listed", job.id, len(job.listed), len(job.count))
		}
	}
	record.log("%d jobs", len(jobs))

	return result
}
