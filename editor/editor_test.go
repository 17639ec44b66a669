package editor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
)

func sampleDocument() *editor.Document {
	return &editor.Document{
		Operators:  []string{"olga", "otto"},
		Firms:      []editor.Firm{{Name: "north", Staff: []string{"nina"}, Share: 1}, {Name: "south", Staff: []string{"saul"}, Share: 1}},
		Workspaces: []editor.Workspace{{Name: "clinics", Firm: "north"}, {Name: "depots", Firm: "south"}},
		Models: []editor.Model{{
			Name:     "text",
			Versions: []editor.Version{{Name: "1", Weights: "text-1"}},
			Adapters: []editor.Adapter{{Name: "pollen", Firm: "north", Weights: "pollen-1"}},
		}},
		Services: []editor.Service{
			{Name: "briefing", Firm: "north", Kind: editor.ServiceKindModel, Model: "text", Version: "1", Replicas: 2},
			{Name: "shared", Kind: editor.ServiceKindPlain, Replicas: 3},
		},
		Policies: []editor.Policy{{Name: "usual", FirstToken: editor.Duration(time.Second), TokenInterval: editor.Duration(time.Millisecond), MaxWait: editor.Duration(time.Second)}},
	}
}

func newEditor(t *testing.T) (*editor.Editor, *emulator.Store) {
	t.Helper()

	store := emulator.NewStore()
	documentEditor := editor.NewEditor(kernel.NewDiscardCommon("entry"), store)
	result := documentEditor.Apply(t.Context(), editor.Edit{Operator: "olga", Document: sampleDocument()})
	require.Equal(t, editor.VerdictApplied, result.Verdict, result)
	require.Equal(t, keeper.Revision(1), result.Revision)

	return documentEditor, store
}

func changedDocument(mutate func(document *editor.Document)) *editor.Document {
	document := sampleDocument()
	mutate(document)

	return document
}

func TestEditsOfTwoOperators(t *testing.T) {
	for name, scenario := range map[string]struct {
		first, second func(document *editor.Document)
		verdict       editor.Verdict
		field         string
	}{
		"different items": {
			func(document *editor.Document) { document.Services[0].Replicas = 5 },
			func(document *editor.Document) { document.Services[1].Replicas = 6 },
			editor.VerdictApplied, "",
		},
		"different fields of one item": {
			func(document *editor.Document) { document.Services[0].Replicas = 5 },
			func(document *editor.Document) { document.Services[0].Idempotent = true },
			editor.VerdictApplied, "",
		},
		"different staff added to one firm": {
			func(document *editor.Document) { document.Firms[0].Staff = []string{"nina", "nora"} },
			func(document *editor.Document) { document.Firms[0].Staff = []string{"nils", "nina"} },
			editor.VerdictApplied, "",
		},
		"same field": {
			func(document *editor.Document) { document.Services[0].Replicas = 5 },
			func(document *editor.Document) { document.Services[0].Replicas = 6 },
			editor.VerdictConflict, "Services[briefing].Replicas",
		},
		"same field, same value": {
			func(document *editor.Document) { document.Services[0].Replicas = 5 },
			func(document *editor.Document) { document.Services[0].Replicas = 5 },
			editor.VerdictUnchanged, "",
		},
		"same item removed and changed": {
			func(document *editor.Document) { document.Services = document.Services[1:] },
			func(document *editor.Document) { document.Services[0].Replicas = 6 },
			editor.VerdictConflict, "Services[briefing]",
		},
		"list emptied, and an item added to it": {
			func(document *editor.Document) { document.Models[0].Adapters = nil },
			func(document *editor.Document) {
				document.Models[0].Adapters = append(document.Models[0].Adapters, editor.Adapter{Name: "new", Weights: "w"})
			},
			editor.VerdictApplied, "",
		},
		"same item added with different values": {
			func(document *editor.Document) {
				document.Workspaces = append(document.Workspaces, editor.Workspace{Name: "new", Firm: "north"})
			},
			func(document *editor.Document) {
				document.Workspaces = append(document.Workspaces, editor.Workspace{Name: "new", Firm: "south"})
			},
			editor.VerdictConflict, "Workspaces[new].Firm",
		},
		"each valid, merged document invalid": {
			func(document *editor.Document) { document.Policies = nil },
			func(document *editor.Document) { document.Services[0].Policy = "usual" },
			editor.VerdictInvalid, "Services[briefing].Policy",
		},
	} {
		t.Run(name, func(t *testing.T) {
			documentEditor, _ := newEditor(t)
			first := documentEditor.Apply(t.Context(), editor.Edit{Operator: "olga", Revision: 1, Document: changedDocument(scenario.first)})
			require.Equal(t, editor.VerdictApplied, first.Verdict, first)

			second := documentEditor.Apply(t.Context(), editor.Edit{Operator: "otto", Revision: 1, Document: changedDocument(scenario.second)})
			require.Equal(t, scenario.verdict, second.Verdict, second)

			switch scenario.verdict {
			case editor.VerdictConflict:
				require.Equal(t, scenario.field, second.Conflicts[0].Field)
				require.NotEqual(t, second.Conflicts[0].Mine, second.Conflicts[0].Theirs)
			case editor.VerdictInvalid:
				require.Equal(t, scenario.field, second.Faults[0].Field)
			case editor.VerdictApplied:
				record, _, err := documentEditor.Read(t.Context())
				require.NoError(t, err)
				require.Len(t, record.History, 3)
				base, err := documentEditor.DocumentAt(t.Context(), 1)
				require.NoError(t, err)
				require.Empty(t, editor.Diff(sampleDocument(), base))
			default:
				require.Empty(t, second.Differences)
			}
		})
	}
}

func TestStaffMayChangeOnlyTheirOwnFirm(t *testing.T) {
	for name, scenario := range map[string]struct {
		change  func(document *editor.Document)
		refused string
	}{
		"own service":                         {func(document *editor.Document) { document.Services[0].Replicas = 4 }, ""},
		"own workspace":                       {func(document *editor.Document) { document.Workspaces[0].Name = "pharmacies" }, ""},
		"own adapter":                         {func(document *editor.Document) { document.Models[0].Adapters[0].Weights = "pollen-2" }, ""},
		"own staff":                           {func(document *editor.Document) { document.Firms[0].Staff = []string{"nina", "nora"} }, ""},
		"own share":                           {func(document *editor.Document) { document.Firms[0].Share = 9 }, "Firms[north]"},
		"staff of another firm":               {func(document *editor.Document) { document.Firms[1].Staff = []string{"nina"} }, "Firms[south]"},
		"workspace of another firm":           {func(document *editor.Document) { document.Workspaces[1].Firm = "north" }, "Workspaces[depots]"},
		"own workspace given to another firm": {func(document *editor.Document) { document.Workspaces[0].Firm = "south" }, "Workspaces[clinics]"},
		"shared service":                      {func(document *editor.Document) { document.Services[1].Replicas = 0 }, "Services[shared]"},
		"model version":                       {func(document *editor.Document) { document.Models[0].Versions[0].Weights = "x" }, "Models[text]"},
		"shared adapter":                      {func(document *editor.Document) { document.Models[0].Adapters[0].Firm = "" }, "Models[text].Adapters[pollen]"},
		"policy":                              {func(document *editor.Document) { document.Policies[0].Reserve = 1 }, "Policies[usual]"},
		"operators":                           {func(document *editor.Document) { document.Operators = []string{"nina", "olga", "otto"} }, "Operators"},
		"removal of another firm's workspace": {func(document *editor.Document) { document.Workspaces = document.Workspaces[:1] }, "Workspaces[depots]"},
	} {
		t.Run(name, func(t *testing.T) {
			documentEditor, _ := newEditor(t)
			result := documentEditor.Apply(t.Context(), editor.Edit{Operator: "nina", Revision: 1, Document: changedDocument(scenario.change)})

			if scenario.refused == "" {
				require.Equal(t, editor.VerdictApplied, result.Verdict, result)

				return
			}

			require.Equal(t, editor.VerdictForbidden, result.Verdict, result)
			require.Equal(t, scenario.refused, result.Faults[0].Field)
		})
	}
}

func TestEditWhileTheKeyValueServiceFails(t *testing.T) {
	wanted := changedDocument(func(document *editor.Document) { document.Firms[0].Share = 2 })

	for name, scenario := range map[string]struct {
		switches emulator.FaultSwitches
		verdict  editor.Verdict
	}{
		"answer lost":                   {emulator.FaultSwitches{DropAnswers: 1}, editor.VerdictApplied},
		"several answers lost":          {emulator.FaultSwitches{DropAnswers: 3}, editor.VerdictApplied},
		"every answer lost":             {emulator.FaultSwitches{DropAnswers: 1000}, editor.VerdictUnknown},
		"service down":                  {emulator.FaultSwitches{Outage: true}, editor.VerdictUnavailable},
		"service silent":                {emulator.FaultSwitches{Silent: true}, editor.VerdictUnavailable},
		"service slow":                  {emulator.FaultSwitches{Delay: 900 * time.Millisecond}, editor.VerdictApplied},
		"service slow, one answer lost": {emulator.FaultSwitches{Delay: 500 * time.Millisecond, DropAnswers: 1}, editor.VerdictApplied},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				documentEditor, store := newEditor(t)
				store.Faults.Set(scenario.switches)

				edit := editor.Edit{Operator: "olga", Revision: 1, Document: wanted, Mark: "mark"}
				result := documentEditor.Apply(t.Context(), edit)
				require.Equal(t, scenario.verdict, result.Verdict, result)

				// A retry of the same edit is applied, and only once in all.
				store.Faults.Set(emulator.FaultSwitches{})
				result = documentEditor.Apply(t.Context(), edit)
				require.Equal(t, editor.VerdictApplied, result.Verdict, result)

				record, _, err := documentEditor.Read(t.Context())
				require.NoError(t, err)
				require.Len(t, record.History, 2)
			})
		})
	}
}

func TestHistoryIsBounded(t *testing.T) {
	documentEditor, store := newEditor(t)

	for share := 2; share < 202; share++ {
		result := documentEditor.Apply(t.Context(), editor.Edit{
			Operator: "olga", Revision: keeper.Revision(share - 1),
			Document: changedDocument(func(document *editor.Document) { document.Firms[0].Share = share }),
		})
		require.Equal(t, editor.VerdictApplied, result.Verdict, result)
	}

	record, revision, err := documentEditor.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, keeper.Revision(201), revision)
	require.Len(t, record.History, 64)

	result := documentEditor.Apply(t.Context(), editor.Edit{Operator: "olga", Revision: 3, Document: sampleDocument()})
	require.Equal(t, editor.VerdictStale, result.Verdict)

	entry, err := store.Get(t.Context(), editor.DocumentKey)
	require.NoError(t, err)
	require.Less(t, len(entry.Value), keeper.MaxValueBytes)
}

// hangingStore never answers its first calls, as on a connection that hangs; the
// writes among them still take effect. Later calls are answered, as on a new
// connection.
type hangingStore struct {
	*emulator.Store
	// unanswered is the number of further calls that get no answer.
	unanswered int
}

func (store *hangingStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if store.hang(ctx) {
		return keeper.Entry{}, ctx.Err()
	}

	return store.Store.Get(ctx, key)
}

func (store *hangingStore) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome, error) {
	entry, applied, err := store.Store.CompareAndSwap(ctx, key, revision, value)
	if store.hang(ctx) {
		return keeper.Entry{}, keeper.WriteUnknown, ctx.Err()
	}

	return entry, applied, err
}

func (store *hangingStore) hang(ctx context.Context) bool {
	if store.unanswered == 0 {
		return false
	}

	store.unanswered--
	<-ctx.Done()

	return true
}

func TestEditWhenConnectionsGiveNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, store := newEditor(t)
		hanging := &hangingStore{Store: store}
		documentEditor := editor.NewEditor(kernel.NewDiscardCommon("entry"), hanging)
		_, revision, err := documentEditor.Read(t.Context())
		require.NoError(t, err)

		hanging.unanswered = 1
		result := documentEditor.Apply(t.Context(), editor.Edit{Operator: "olga", Revision: revision, Document: sampleDocument()})
		require.Equal(t, editor.VerdictUnavailable, result.Verdict)

		wanted := changedDocument(func(document *editor.Document) { document.Firms[0].Share = 2 })
		startedAt := time.Now()
		result = documentEditor.Apply(t.Context(), editor.Edit{Operator: "olga", Revision: revision, Document: wanted})
		require.Equal(t, editor.VerdictApplied, result.Verdict)
		require.Zero(t, time.Since(startedAt))

		hanging.unanswered = 2
		wanted.Firms[0].Share = 3
		// The reads of both calls get no answer.
		result = documentEditor.Apply(t.Context(), editor.Edit{Operator: "olga", Revision: revision + 1, Document: wanted, Mark: "m"})
		require.Equal(t, editor.VerdictUnavailable, result.Verdict)
		result = documentEditor.Apply(t.Context(), editor.Edit{Operator: "olga", Revision: revision + 1, Document: wanted, Mark: "m"})
		require.Equal(t, editor.VerdictUnavailable, result.Verdict)
		require.Equal(t, 2*time.Second, time.Since(startedAt))
	})
}

func TestUnansweredWriteIsResolvedOnANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, store := newEditor(t)
		hanging := &hangingWriteStore{hangingStore{Store: store, unanswered: 2}}
		documentEditor := editor.NewEditor(kernel.NewDiscardCommon("entry"), hanging)

		wanted := changedDocument(func(document *editor.Document) { document.Firms[0].Share = 2 })
		result := documentEditor.Apply(t.Context(), editor.Edit{Operator: "olga", Revision: 1, Document: wanted})
		require.Equal(t, editor.VerdictApplied, result.Verdict, result)
		require.Equal(t, keeper.Revision(2), result.Revision)
	})
}

// hangingWriteStore answers every read; its first writes get no answer.
type hangingWriteStore struct{ hangingStore }

func (store *hangingWriteStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	return store.Store.Get(ctx, key)
}

// The client's circuit breaker opens after the first call, whose answer is lost:
// the later attempts are refused without being sent, but the edit was written and
// has to be reported as applied.
func TestLostAnswerIsResolvedAfterTheBreakerOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, store := newEditor(t)
		settings := keeper.DefaultSettings()
		settings.Failures = 1
		documentEditor := editor.NewEditor(kernel.NewDiscardCommon("entry"), keeper.NewClient(kernel.NewDiscardCommon("entry"), store, settings))

		store.Faults.Set(emulator.FaultSwitches{DropAnswers: 1})
		wanted := changedDocument(func(document *editor.Document) { document.Firms[0].Share = 2 })
		result := documentEditor.Apply(t.Context(), editor.Edit{Operator: "olga", Revision: 1, Document: wanted})
		require.Equal(t, editor.VerdictApplied, result.Verdict, result)

		record, _, err := documentEditor.Read(t.Context())
		if err == nil {
			require.True(t, record.HasMark(result.Mark))
		}
	})
}
