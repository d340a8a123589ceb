"""Stand-ins for the store, upstreams and clients of review/7, as PROTOCOL.md describes them."""
import asyncio, base64, json, os, random, signal, subprocess, sys, time, tempfile, collections
T0=time.monotonic()
def now(): return time.monotonic()-T0
class Http:
    @staticmethod
    async def read_msg(r):
        line=await r.readline()
        if not line: return None
        parts=line.decode('latin1').rstrip('\r\n').split(' ',2)
        hs=[]
        while True:
            l=await r.readline()
            if not l: return None
            l=l.decode('latin1').rstrip('\r\n')
            if l=='': break
            k,_,v=l.partition(':'); hs.append((k.strip().lower(),v.strip()))
        return parts,hs
    @staticmethod
    def get(hs,k,d=None):
        for a,b in hs:
            if a==k: return b
        return d
    @staticmethod
    async def body(r,hs):
        if Http.get(hs,'transfer-encoding','').lower()=='chunked':
            out=b''
            while True:
                l=await r.readline()
                if not l: raise EOFError
                n=int(l.split(b';')[0],16)
                if n==0:
                    while (await r.readline()).strip(): pass
                    return out
                out+=await r.readexactly(n); await r.readexactly(2)
        n=int(Http.get(hs,'content-length','0'))
        return await r.readexactly(n) if n else b''
class Store:
    def __init__(s): s.rev=10; s.items={}; s.leases={}; s.nl=100; s.down=False; s.log=[]; s.hook=None; s.conns=set()
    def put(s,k,v,lease=0):
        s.rev+=1; old=s.items.get(k); s.items[k]=dict(key=k,value=base64.b64encode(v).decode(),rev=s.rev,created_rev=old['created_rev'] if old else s.rev,lease=lease)
    async def start(s,host='127.0.0.1'):
        s.srv=await asyncio.start_server(s.conn,host,0); s.addr='%s:%d'%s.srv.sockets[0].getsockname()[:2]
    def expire(s):
        t=now()
        for l,e in list(s.leases.items()):
            if e[1]<t:
                del s.leases[l]
                for k,i in list(s.items.items()):
                    if i['lease']==l: s.rev+=1; del s.items[k]
    async def conn(s,r,w):
        s.conns.add(w)
        try:
            while True:
                m=await Http.read_msg(r)
                if m is None: break
                (meth,path,_),hs=m; b=await Http.body(r,hs)
                await asyncio.sleep(0.002)
                if s.down:
                    await asyncio.sleep(30); break
                s.expire()
                st,o=s.handle(meth,path,b)
                if s.hook:
                    x=await s.hook(meth,path,b,st,o)
                    if x=='drop': await asyncio.sleep(30); break
                data=json.dumps(o).encode()
                w.write(b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n'%(st,len(data))+data); await w.drain()
        except (EOFError,ConnectionError,asyncio.IncompleteReadError): pass
        finally: w.close()
    def handle(s,meth,path,b):
        from urllib.parse import urlsplit,parse_qs
        u=urlsplit(path); q={k:v[0] for k,v in parse_qs(u.query).items()}; p=u.path
        if p=='/v1/kv-key':
            i=s.items.get(q['key'])
            return (200,dict(i,as_of=s.rev)) if i else (404,{'as_of':s.rev})
        if p=='/v1/kv-range':
            it=[s.items[k] for k in sorted(s.items) if k.startswith(q['prefix']) and k>q.get('after','')]
            return 200,{'items':it[:500],'truncated':len(it)>500,'as_of':s.rev}
        if p=='/v1/kv-lease':
            s.nl+=1; t=json.loads(b)['ttl_s_time']; s.leases[s.nl]=[t,now()+t]; return 200,{'lease':s.nl,'ttl_s_time':t}
        if p.startswith('/v1/kv-keep/'):
            l=int(p.rsplit('/',1)[1])
            if l not in s.leases: return 404,{}
            s.leases[l][1]=now()+s.leases[l][0]; return 200,{'ttl_s_time':s.leases[l][0]}
        if p.startswith('/v1/kv-lease-end/'):
            l=int(p.rsplit('/',1)[1])
            if l not in s.leases: return 404,{}
            s.leases[l][1]=0; s.expire(); return 200,{}
        if p=='/v1/kv-txn':
            t=json.loads(b)
            for e in t.get('expected',[]):
                i=s.items.get(e['key']); 
                if (i['rev'] if i else 0)!=e['rev']: return 412,{'items':[s.items[x['key']] for x in t['expected'] if x['key'] in s.items]}
            for e in t.get('writes',[]):
                if e.get('lease',0) and e['lease'] not in s.leases: return 404,{}
            for e in t.get('writes',[]): s.put(e['key'],base64.b64decode(e['value']),e.get('lease',0))
            for k in t.get('deletes',[]): s.items.pop(k,None)
            s.rev+=1; return 200,{'rev':s.rev}
        return 400,{}
class Upstream:
    def __init__(s,node,service,host,port,id=None,slots=4,work=0.05,born=None,beat=1.5):
        s.node=node; s.service=service; s.host=host; s.port=port; s.id=id or 'i-%08x'%random.getrandbits(32); s.slots=slots; s.work=work
        s.born=born or int(time.time()*1000); s.seq=0; s.state='ready'; s.runs=collections.Counter(); s.rec=[]; s.running=0; s.tasks=[]; s.ws=set(); s.behave=None; s.beats=True; s.beat=beat; s.acks=[]
    async def start(s):
        s.srv=await asyncio.start_server(s.conn,s.host,s.port,backlog=200)
        if s.beat: s.tasks.append(asyncio.create_task(s.beater()))
        return s
    async def crash(s):
        for t in s.tasks: t.cancel()
        s.srv.close()
        for w in list(s.ws): w.transport.abort()
    async def call(s,path,obj,timeout=1.0):
        try:
            h,p=s.node.control.split(':')
            r,w=await asyncio.wait_for(asyncio.open_connection(h,int(p)),timeout)
            d=json.dumps(obj).encode() if obj is not None else b''
            w.write(b'POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n'%(path.encode(),len(d))+d)
            m=await asyncio.wait_for(Http.read_msg(r),timeout); w.close()
            return int(m[0][1])
        except Exception as e: return None
    def msg(s,**k):
        s.seq+=1
        o={'address':'%s:%d'%(s.host,s.port),'born':s.born,'info':{'service':s.service,'version':'v1','zone':s.node.zone,'slots':s.slots},'status':{'state':s.state,'sequence':s.seq,'warmup_left_s':0}}
        o.update(k); return o
    async def heartbeat(s):
        st=await s.call('/v1/Instances.Heartbeat/'+s.id,s.msg()); s.acks.append((now(),s.state,st)); return st
    async def beater(s):
        while True:
            if s.beats: await s.heartbeat()
            await asyncio.sleep(s.beat)
    async def conn(s,r,w):
        s.ws.add(w)
        try:
            while True:
                m=await Http.read_msg(r)
                if m is None: break
                (meth,path,_),hs=m
                rid=Http.get(hs,'jasminebank-request-id')
                exp=Http.get(hs,'jasminebank-expected-instance')
                b=await Http.body(r,hs)
                if exp and exp!=s.id:
                    w.write(b'HTTP/1.1 421 M\r\nJasminebank-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n'%s.id.encode()); await w.drain(); continue
                s.runs[rid]+=1; s.rec.append((now(),s.id,rid,meth,path,len(b),dict(hs)))
                s.running+=1
                try:
                    if s.behave:
                        x=await s.behave(s,r,w,meth,path,hs,b,rid)
                        if x=='done': continue
                        if x=='close': break
                    else: await asyncio.sleep(s.work)
                finally: s.running-=1
                body=b'ok '+rid.encode()
                w.write(b'HTTP/1.1 200 OK\r\nJasminebank-Request-Id: %s\r\nJasminebank-Server-Signature: sig.%s\r\nJasminebank-Server-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n'%(rid.encode(),rid.encode(),s.running,s.slots,len(body))+body); await w.drain()
        except (EOFError,ConnectionError,asyncio.IncompleteReadError,asyncio.CancelledError): pass
        finally: s.ws.discard(w); w.close()
TEMPLATE_BIN='target/node'
class Node:
    def __init__(s,fleet,n,zone,service):
        s.f=fleet; s.n=n; s.zone=zone; s.service=service; s.ip='127.0.%d.%d'%(fleet.net,n); s.name='vm-%d'%n
        s.callers=s.ip+':8548'; s.control=s.ip+':8540'; s.ready=s.ip+':8546'; s.app_host=s.ip; s.app_port=8547; s.first=True; s.p=None; s.nlog=0
    def ini(s):
        b=s.f.bounds
        return f"""[node]
platform = yes
first_start = {'yes' if s.first else 'no'}
vm = {s.name}
failure_domain = {s.zone}
region = {s.f.region}
callers = {s.callers}
control = {s.control}
ready = {s.ready}
links = {s.ip}:7000
metrics = {s.ip}:7001
store = {s.f.store.addr}
backend_server = {s.app_host}:{s.app_port}
service = {s.service}
revoke_within = 5s
announcement_ttl = 60s
backend_idle = 4s
buffered_body_bytes = 524288
waiting_requests = 64
closing_grace = 2500ms
stop_grace = 6s
limit_holders = 1
retry_share = 0.2
fleet_retries = 62
fleet_retry_window = 10s
hedge_after = 2.5
other_domain_penalty = 0.3
other_domain_penalty_per_mb = 30
other_region_penalty = 0.7
other_region_penalty_per_mb = 30
region_link = 50
ping_period = 200ms
own_domain_first = no
rate_slack = 20

[regions]
""" + ''.join(f'{z} = {s.f.region}\n' for z in s.f.zones)
    def start(s):
        open(f'{s.f.dir}/{s.name}.ini','w').write(s.ini()); s.nlog+=1
        s.logf=f'{s.f.dir}/{s.name}.{s.nlog}.log'
        s.p=subprocess.Popen([TEMPLATE_BIN,'--settings',f'{s.f.dir}/{s.name}.ini'],stdout=open(s.logf,'wb'),stderr=subprocess.STDOUT); s.first=False
    def kill(s,sig=signal.SIGKILL):
        s.p.send_signal(sig)
    async def wait_ready(s,t=15):
        e=now()+t
        while now()<e:
            try:
                h,p=s.ready.split(':'); r,w=await asyncio.wait_for(asyncio.open_connection(h,int(p)),1)
                w.write(b'GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'); m=await asyncio.wait_for(Http.read_msg(r),1); w.close()
                if m and m[0][1]=='200': return True
            except Exception: pass
            await asyncio.sleep(0.05)
        return False
class Fleet:
    def __init__(s,zones=('za','zb','zc'),region='r1',net=9):
        s.zones=zones; s.region=region; s.net=net; s.bounds={}; s.dir=os.environ['CASE_TMP']; s.nodes=[]; s.ups=[]; s.store=Store(); s.version=1
    def config(s,services=('svc-a','svc-b'),tenants=None,extra=None,timeout=4,attempts=2):
        s.version+=3
        tenants=tenants or [dict(name='ten1',api_keys=['k'*4+'aaaaaaaaaaaaaaaa01','k'*4+'aaaaaaaaaaaaaaaa02'],priority=1,rate_per_s=0,burst=0)]
        rules=[]
        for x in services:
            for kind in ('safe','unsafe','upload'):
                rules.append(dict(name=f'r-{x}-{kind}',route_type=kind,target_latency_s=getattr(s,'target',1.2),priority=1,public=False,match={'prefix':f'/{x}/{kind}/'},action=dict(service=x,timeout_s=timeout,attempts=attempts)))
        c=dict(version='%08x'%s.version,limits=dict(max_header_bytes=16384,max_body_bytes=67108864,header_timeout_s=3,idle_timeout_s=15),tenants=tenants,listeners=[dict(host='h.example',rules=rules)],clusters=[dict(name=x,health_path='/healthz',max_connections=390,protocol='h1',tls=False) for x in services])
        if extra: extra(c)
        s.store.put('op/config',json.dumps(c).encode()); s.cfg=c; return c
    async def start(s,spec):
        await s.store.start(); 
        if 'op/config' not in s.store.items: s.config()
        for i,(z,svc) in enumerate(spec): s.nodes.append(Node(s,i+1,z,svc))
        for n in s.nodes: n.start()
        for n in s.nodes:
            assert await n.wait_ready(),open(n.logf).read()[-2000:]
        for n in s.nodes:
            u=Upstream(n,n.service,n.app_host,n.app_port); await u.start(); s.ups.append(u)
    def stop(s):
        for n in s.nodes:
            if n.p and n.p.poll() is None: n.p.send_signal(signal.SIGCONT); n.p.kill()
        for n in s.nodes:
            if n.p: n.p.wait()
KEY='kkkkaaaaaaaaaaaaaaaa01'
class Client:
    def __init__(s,node): s.h,s.p=node.callers.split(':'); s.r=s.w=None
    async def open(s):
        s.r,s.w=await asyncio.wait_for(asyncio.open_connection(s.h,int(s.p)),1)
    def head(s,meth,path,rid,n=None,dl=6000,key=KEY,extra='',host='h.example'):
        return (f'{meth} {path} HTTP/1.1\r\nHost: {host}\r\nJasminebank-Request-Id: {rid}\r\nJasminebank-Deadline-Ms: {dl}\r\n'+(f'Authorization: Bearer {key}\r\n' if key else '')+(f'Content-Length: {n}\r\n' if n is not None else '')+extra+'\r\n').encode()
    async def req(s,meth,path,rid,body=None,timeout=10,**k):
        try:
            if s.w is None or s.w.is_closing(): await s.open()
            s.w.write(s.head(meth,path,rid,len(body) if body is not None else None,**k)+(body or b'')); await s.w.drain()
            while True:
                m=await asyncio.wait_for(Http.read_msg(s.r),timeout)
                if m is None: s.w.close(); s.w=None; return ('closed',None,b'')
                st=int(m[0][1])
                if st>=200: break
            b=await asyncio.wait_for(Http.body(s.r,m[1]),timeout)
            if Http.get(m[1],'connection','').lower()=='close': s.w.close(); s.w=None
            return (st,m[1],b)
        except (ConnectionError,EOFError,asyncio.IncompleteReadError) as e:
            if s.w: s.w.close()
            s.w=None; return ('closed',None,b'')
        except asyncio.TimeoutError:
            if s.w: s.w.close()
            s.w=None; return ('timeout',None,b'')
def rid(): return '%016x'%random.getrandbits(64)
