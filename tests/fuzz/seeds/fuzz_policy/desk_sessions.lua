-- Desk sessions: spread evenly, keep to the back end's connection limit, and rank the desk above
-- the manifests. See docs/policies/desk-sessions.md.
function place(flow_class, backend)
  if backend.state ~= "active" then
    return 0
  end
  return 100
end

function rank(flow_class)
  if flow_class == "desk" then
    return 9
  end
  return 4
end

function limits()
  return { flows_per_backend = 2000, new_flows_per_second = 4000 }
end
