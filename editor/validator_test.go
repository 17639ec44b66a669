package editor

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/keeper"
)

func sampleDocument() *Document {
	return &Document{
		Operators:  []string{"olga"},
		Firms:      []Firm{{Name: "north", Staff: []string{"nina"}, Share: 1}, {Name: "south", Staff: []string{"saul"}, Share: 1}},
		Workspaces: []Workspace{{Name: "clinics", Firm: "north"}, {Name: "depots", Firm: "south"}},
		Models: []Model{{
			Name:     "text",
			Versions: []Version{{Name: "1", Weights: "text-1"}},
			Adapters: []Adapter{{Name: "pollen", Firm: "north", Weights: "pollen-1"}},
		}},
		Services: []Service{
			{Name: "briefing", Firm: "north", Kind: ServiceKindModel, Model: "text", Version: "1", Adapter: "pollen", Replicas: 2, Idempotent: true, Policy: "usual"},
			{Name: "booking", Firm: "south", Kind: ServiceKindPlain, Replicas: 3},
		},
		Policies: []Policy{{Name: "usual", FirstToken: Duration(time.Second), TokenInterval: Duration(time.Millisecond), Reserve: 0.1, MaxWait: Duration(time.Second)}},
	}
}

func TestValidateListsEveryFaultAtOnce(t *testing.T) {
	require.Empty(t, Validate(sampleDocument()))

	for name, scenario := range map[string]struct {
		mutate func(document *Document)
		fields []string
	}{
		"no operator":                  {func(document *Document) { document.Operators = nil }, []string{"Operators"}},
		"repeated and empty operators": {func(document *Document) { document.Operators = []string{"a", "a", ""} }, []string{"Operators[1]", "Operators[2]"}},
		"empty name":                   {func(document *Document) { document.Firms[0].Name = "" }, []string{"Firms[0].Name", "Workspaces[clinics].Firm", "Models[text].Adapters[pollen].Firm", "Services[briefing].Firm"}},
		"duplicate name":               {func(document *Document) { document.Workspaces[1].Name = "clinics" }, []string{"Workspaces[1].Name"}},
		"share of zero":                {func(document *Document) { document.Firms[1].Share = 0 }, []string{"Firms[south].Share"}},
		"unknown firm":                 {func(document *Document) { document.Workspaces[0].Firm = "nort" }, []string{"Workspaces[clinics].Firm"}},
		"unknown model":                {func(document *Document) { document.Services[0].Model = "x" }, []string{"Services[briefing].Model"}},
		"unknown version":              {func(document *Document) { document.Services[0].Version = "2" }, []string{"Services[briefing].Version"}},
		"other firm's adapter":         {func(document *Document) { document.Services[0].Firm = "south" }, []string{"Services[briefing].Adapter"}},
		"unknown policy":               {func(document *Document) { document.Services[0].Policy = "x" }, []string{"Services[briefing].Policy"}},
		"unknown kind":                 {func(document *Document) { document.Services[0].Kind = "Modell" }, []string{"Services[briefing].Kind"}},
		"plain service with a model":   {func(document *Document) { document.Services[1].Model = "text" }, []string{"Services[booking].Model"}},
		"negative replicas":            {func(document *Document) { document.Services[1].Replicas = -1 }, []string{"Services[booking].Replicas"}},
		"no versions":                  {func(document *Document) { document.Models[0].Versions = nil }, []string{"Models[text].Versions", "Services[briefing].Version"}},
		"no weights":                   {func(document *Document) { document.Models[0].Versions[0].Weights = "" }, []string{"Models[text].Versions[1].Weights"}},
		"reserve and durations":        {func(document *Document) { document.Policies[0] = Policy{Name: "usual", Reserve: math.Inf(1)} }, []string{"Policies[usual].Reserve", "Policies[usual].FirstToken", "Policies[usual].TokenInterval", "Policies[usual].MaxWait"}},
		"document too large":           {func(document *Document) { document.Operators = oversizedOperators() }, []string{"(document)"}},
	} {
		t.Run(name, func(t *testing.T) {
			document := sampleDocument()
			scenario.mutate(document)

			fields := []string{}
			for _, fault := range Validate(document) {
				require.NotEmpty(t, fault.Remedy)
				fields = append(fields, fault.Field)
			}

			require.Equal(t, scenario.fields, fields)
		})
	}
}

func oversizedOperators() []string {
	people := []string{}
	for index := range MaxDocumentBytes / 32 {
		people = append(people, fmt.Sprintf("%040d", index))
	}

	return people
}

func TestDecodeListsUnknownFieldsAndWrongKinds(t *testing.T) {
	_, faults := DecodeDocument([]byte(`{"firms": [], "Firms": [{"Name": 3, "Share": 1.5, "Sharee": 1}], "Policies": [{"MaxWait": "soon"}], "Services": {}}`))

	fields := []string{}
	for _, fault := range faults {
		fields = append(fields, fault.Field)
	}

	require.Equal(t, []string{"Firms[0].Name", "Firms[0].Share", "Firms[0].Sharee", "Policies[0].MaxWait", "Services", "firms"}, fields)

	for _, text := range []string{"", "[]", "{", "{} {}", "null"} {
		_, faults := DecodeDocument([]byte(text))
		require.NotEmpty(t, faults, text)
	}
}

// incompressibleName returns a hash of the numbers, which does not compress.
func incompressibleName(numbers ...int) string {
	return fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, numbers)))
}

// The system is built for 800 workspaces and 30 models. The numbers of versions,
// adapters and services here are generous.
func TestDocumentAtTargetScaleFillsUnderHalfTheLimit(t *testing.T) {
	document := sampleDocument()
	for index := range 800 {
		document.Workspaces = append(document.Workspaces, Workspace{Name: fmt.Sprintf("workspace-of-district-%04d", index), Firm: "north"})
		document.Services = append(document.Services, Service{Name: fmt.Sprintf("service-of-district-%04d", index), Firm: "north", Kind: ServiceKindModel, Model: "text", Version: "1", Replicas: 2, Policy: "usual"})
	}

	for index := range 30 {
		model := Model{Name: fmt.Sprintf("model-with-a-long-name-%02d", index)}
		for inner := range 10 {
			model.Versions = append(model.Versions, Version{Name: fmt.Sprintf("2026-%02d", inner), Weights: incompressibleName(2*inner, index)})
			model.Adapters = append(model.Adapters, Adapter{Name: fmt.Sprintf("adapter-%02d", inner), Firm: "south", Weights: incompressibleName(2*inner+1, index)})
		}

		document.Models = append(document.Models, model)
	}

	require.Empty(t, Validate(document))

	encoded, err := json.Marshal(document)
	require.NoError(t, err)

	compressed := &bytes.Buffer{}
	writer := gzip.NewWriter(compressed)
	_, err = writer.Write(encoded)
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	t.Logf("document: %d bytes, compressed %d, limit %d, value limit %d", len(encoded), compressed.Len(), MaxDocumentBytes, keeper.MaxValueBytes)
	require.Less(t, len(encoded), MaxDocumentBytes/2)
}
