package soaker

import (
	"cmp"
	"context"
	"fmt"

	"limpetrail/deployer"
	"limpetrail/emulator"
)

// firstEndlessSeed is the first seed that also draws endlessStore.
const firstEndlessSeed = 700

// endlessHeads returns how answers begin whose rest does not end: with no protocol, within a line of the
// head, within a JSON text.
func endlessHeads() []string {
	return []string{"", "HTTP/1.1 200 OK\r\nX-Filler: ", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n{\"Key\":\""}
}

// hasEndlessAnswers reports whether the seed draws endlessStore.
func (soak *Soak) hasEndlessAnswers() bool {
	return soak.Seed >= firstEndlessSeed
}

// endlessStore leads a gateway or a holder to a store whose answers do not end, for a while.
func (soak *Soak) endlessStore(ctx context.Context) {
	link := soak.gateway(soak.random.intN(gatewayCount)).StoreLink
	if soak.random.intN(2) == 0 {
		link = soak.holder(soak.random.intN(holderCount)).StoreLink
	}

	heads := endlessHeads()
	link.SetTarget(soak.ServeEndless("127.0.0.1:0", emulator.EndlessServer{Head: heads[soak.random.intN(len(heads))], Repeated: "0123456789"})) //nolint:contextcheck // Servers last as long as the test.
	soak.pauseForFault(ctx)
	link.SetTarget(soak.StoreAddress)
}

// checkMemory checks that no process needed more memory than the smallest machine has.
func (soak *Soak) checkMemory() []string {
	violations := []string{}

	if !soak.hasEndlessAnswers() {
		return violations
	}

	check := func(process *deployer.Process, limit int) {
		if peak := process.PeakMemory(soak.T); peak >= limit {
			violations = append(violations, fmt.Sprintf("MEMORY: %s needed %d MB", process.Name, peak))
		}
	}

	for number := range gatewayCount {
		check(soak.gateway(number), cmp.Or(soak.GatewayMemory, deployer.SmallestMachine))
	}

	for number := range holderCount {
		check(soak.holder(number), deployer.SmallestMachine)
	}

	return violations
}
