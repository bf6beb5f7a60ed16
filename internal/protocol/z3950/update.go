package z3950

import (
	"slices"
	"strconv"
	"strings"

	"rooktrestle/internal/query"
)

// Values of fields of a database update.
const (
	esFunctionCreate = 1 // the task is to be performed
	esWait           = 1 // the response is sent when the task is finished
)

// Diagnostics of database updates that are rejected.
const (
	diagUnsupportedPackageType = 221
	diagUnsupportedFunction    = 223
	diagMalformedTask          = 228
)

// updateActions are the actions of a database update by their codes.
var updateActions = map[int]query.Action{
	1: query.ActionCreate,
	2: query.ActionReplace,
	3: query.ActionDelete,
}

// UpdateRequest is a database update of one record.
type UpdateRequest struct {
	Database string
	Action   query.Action
	Record   query.Record
}

// Update returns the unit of a database update (extended services), whose response comes when the update is finished.
func Update(reference, database string, action query.Action, record query.Record) *Node {
	code := 0
	for number, name := range updateActions {
		if name == action {
			code = number
		}
	}
	var content *Node
	if record.XML != "" {
		content = Ctx(fieldSuppliedRecord, externalXML(record.XML))
	}
	toKeep := sequence(Num(fieldUpdateAction, code), Str(fieldUpdateDatabaseName, database))
	supplied := sequence(Ctx(fieldSuppliedID, Str(suppliedIDString, record.ID)), content)
	task := Ctx(taskRequest, Ctx(fieldUpdateToKeep, toKeep), Ctx(fieldUpdateNotToKeep, sequence(supplied)))
	return Ctx(EsRequest,
		Str(FieldReferenceID, reference),
		Num(fieldEsFunction, esFunctionCreate),
		Oid(Context, fieldEsPackageType, oidUpdate1),
		Ctx(fieldEsTaskParameters, Oid(Universal, tagOID, oidUpdate1), Ctx(externalSingleType, task)),
		Num(fieldEsWaitAction, esWait))
}

// ParseUpdate reads a database update. The diagnostic is nil if it is one that can be served.
func ParseUpdate(unit *Node) (UpdateRequest, *query.Diagnostic) {
	var request UpdateRequest
	toKeep, supplied, problem := updateTask(unit)
	if problem != nil {
		return request, problem
	}
	action, found := updateActions[toKeep.Kid(fieldUpdateAction).IntOr(0)]
	if !found {
		return request, malformedTask("action")
	}
	request.Action = action
	request.Database = toKeep.Kid(fieldUpdateDatabaseName).Text()
	// One record is one query: the response to several could not say which of them was changed.
	if len(supplied.Kids) != 1 {
		return request, malformedTask("one record a request")
	}
	record := supplied.Kids[0]
	request.Record.ID = suppliedID(record)
	request.Record.XML = parseExternal(record.Kid(fieldSuppliedRecord).Only())
	if request.Record.ID == "" || request.Record.XML == "" && action != query.ActionDelete {
		return request, malformedTask("no record id, or no record")
	}
	return request, nil
}

// updateTask returns the parts of a database update: action and database, and the list of records.
func updateTask(unit *Node) (toKeep, supplied *Node, problem *query.Diagnostic) {
	if unit.Kid(fieldEsFunction).IntOr(0) != esFunctionCreate {
		return nil, nil, &query.Diagnostic{Bib1: diagUnsupportedFunction, Details: "function"}
	}
	packageType := unit.Kid(fieldEsPackageType).Oid()
	if !strings.HasPrefix(packageType, oidUpdate) {
		return nil, nil, &query.Diagnostic{Bib1: diagUnsupportedPackageType, Details: packageType}
	}
	parameters := unit.Kid(fieldEsTaskParameters)
	// The EXTERNAL may stand inside the tag or, with an implicit tag, in its place.
	if external := parameters.Only(); external != nil && external.Class == Universal && external.Tag == tagExternal {
		parameters = external
	}
	task := parameters.Kid(externalSingleType).Only()
	if task == nil || !task.is(taskRequest) {
		return nil, nil, malformedTask("task parameters")
	}
	toKeep = task.Kid(fieldUpdateToKeep)
	supplied = task.Kid(fieldUpdateNotToKeep)
	if toKeep == nil || supplied == nil {
		return nil, nil, malformedTask("task parameters")
	}
	// The sequence of records may stand inside the tag. A single record is a sequence too, of values with context tags.
	list := explicitSequence(supplied)
	if !slices.ContainsFunc(list.Kids, func(kid *Node) bool { return kid.Class != Universal }) {
		supplied = list
	}
	return explicitSequence(toKeep), supplied, nil
}

// suppliedID returns the identifier of a record in a database update, a number or a string.
func suppliedID(record *Node) string {
	id := record.Kid(fieldSuppliedID).Only()
	if id != nil && id.is(suppliedIDNumber) {
		return strconv.Itoa(id.IntOr(0))
	}
	return id.Text()
}

// explicitSequence returns the SEQUENCE inside an explicit tag, or n itself if there is none.
func explicitSequence(n *Node) *Node {
	if kid := n.Only(); kid != nil && kid.Class == Universal && kid.Tag == TagSequence {
		return kid
	}
	return n
}

func malformedTask(details string) *query.Diagnostic {
	return &query.Diagnostic{Bib1: diagMalformedTask, Details: details}
}
