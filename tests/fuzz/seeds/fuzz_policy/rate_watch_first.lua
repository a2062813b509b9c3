-- Rate-watch first: standing rate-watch sessions get every machine by its capacity, and their
-- flows are the last to be refused. See docs/policies/rate-watch-first.md.
function place(flow_class, backend)
  if backend.state ~= "active" then
    return 0
  end
  -- 2,000 connections are an ordinary machine's capacity and give weight 100.
  return math.min(1000, backend.capacity // 20)
end

function rank(flow_class)
  if flow_class == "rate-watch" then
    return 9
  end
  return 3
end
